Feature: Runs of an earlier leader of which the next one knows nothing, or only a part
  Two leaders in turn reach the upstreams u0 and u1 over loopback connections. The upstreams keep
  leases, fences and runs; the test holds replies back, or loses calls, for one leader only. Unless
  a scenario says otherwise, both lead the same failure domain.

  Scenario Outline: A run that was adopted isn't given up while the earlier leader's lease lasts
    # Guards against a second start beside a run whose lease another leader has given (issue 35, order A).
    Given a job that runs on u0 under the first leader
    When u0 lists the run to the second leader once, which adopts it for a job that <says>
    Then the second leader has started the task on u1
    And no two runs of the task were under way at the same time

    Examples:
      | says                     |
      | names no earlier runs    |
      | names earlier runs on u0 |

  Scenario: A run on an upstream that hasn't replied to the next leader isn't taken for none
    # Guards against a second start beside a run that the earlier leader keeps alive (issue 35, order B).
    Given a job that runs on u0 under the first leader, which learns late that it is replaced
    When its caller leaves unnoticed, and sends it 1.3 s later to the second leader, unheard by u0
    Then no two runs of the task were under way at the same time
    And the second leader has a run of the task once u0 replies

  Scenario: A run isn't started again beside a leader that never learns of the next one
    # Guards against a second start while only the next leader is cut off from the upstream.
    Given a job that runs on u0 under the first leader, which never learns that it is replaced
    And u0 goes on reporting itself to the directory
    When its caller leaves unnoticed, and sends it 1.3 s later to the second leader, unheard by u0
    Then no two runs of the task were under way at the same time
    And the second leader has a run of the task once u0 replies

  @known_red
  Scenario: A run isn't started again beside a leader that is cut off together with its upstream
    # Guards against a second start while a leader and an upstream are cut off from all others.
    Given a job that runs on u0 under the first leader, which never learns that it is replaced
    When its caller leaves unnoticed, and sends it 1.3 s later to the second leader, unheard by u0
    Then no two runs of the task were under way at the same time
    And the second leader has a run of the task once u0 replies

  Scenario: A leader that the log doesn't answer learns from the next one that it is replaced
    # Guards against a replaced leader that keeps runs alive until the log answers it again (issue 35).
    Given a leader that the log has stopped answering
    When another host replaces it
    Then it has given up its term within 1 s

  Scenario Outline: An upstream without a reply isn't taken for idle before its lease can have ended
    # Guards against a second start at the beginning of a term, beside a killed leader's run (order B).
    Given a job that runs on u0 under the first leader
    When that leader is killed, and the second one gets the job at once, <heard> by u0
    Then no two runs of the task were under way at the same time
    And the second leader has a run of the task once u0 replies

    Examples:
      | heard                    |
      | unheard                  |
      | heard and never answered |

  Scenario: A job that was answered 504 has no run left when its caller sends it again
    # Guards against a stop at the deadline that ends the runs too late for the caller's next try.
    Given a job that runs on u0 under the first leader
    When its deadline comes, and it is sent 1.3 s later to the second leader, unheard by u0
    Then every run of the first leader has ended within 1.3 s
    And no two runs of the task were under way at the same time
    And the second leader has a run of the task once u0 replies

  Scenario Outline: A run whose stop is lost ends before its caller sends the job again
    # Guards against holds that extend the lease of a run that is to end (issue 35, a lost stop).
    Given a job that runs on u0 under the first leader, whose holds arrive and whose stops are lost
    When it ends because <cause>, and is sent 1.3 s later to the leader of another failure domain
    Then every run of the first leader has ended within 1.3 s
    And the second leader has started the task on u1
    And no two runs of the task were under way at the same time

    Examples:
      | cause              |
      | its caller leaves  |
      | its deadline comes |

  Scenario: A run that the earlier leader stops in vain isn't given up while its lease lasts
    # Guards against a second start beside a run that is to be stopped and goes on (issue 35, order A).
    Given a job that runs on u0 under the first leader, whose holds arrive and whose stops are lost
    When its stop gets no reply, and u0 lists the run to the second leader once, which adopts it
    Then the second leader has started the task on u1
    And no two runs of the task were under way at the same time
