Feature: Submissions that a leader reads late
  A leader and an entry host exchange heartbeats and jobs over loopback connections, through a relay
  that holds back what the test says. A leader starts nothing for a sender that may no longer wait.

  Scenario Outline: A submission that its entry host has given up starts nothing when it is read
    # Guards against a start for a job that its entry host has sent to the next leader (issue 38).
    Given a leader and an entry host that follows it through a relay
    When the leader reads a job after the entry host has lost it, as <cause>
    Then no task of the job was placed

    Examples:
      | cause                                             |
      | its replies to heartbeats are held back           |
      | its requests are held back, heartbeats read first |

  Scenario: A submission that the leader reads in time is placed
    # Guards against a rule that refuses what an entry host waits for.
    Given a leader and an entry host that follows it through a relay
    When the leader reads a job after 0.2 s
    Then its task was placed

  Scenario: A submission whose caller has left starts nothing when it is read
    # Guards against a start for a caller who left while the entry host goes on following the leader.
    Given a leader and an entry host that follows it through a relay
    When the leader reads a job just after a heartbeat that withdraws it
    Then no task of the job was placed

  Scenario: A submission that waited until its deadline starts nothing when it is read
    # Guards against a start for a sender that has given up, beside heartbeats that go on.
    Given a leader and an entry host that follows it through a relay
    When the leader reads a job after its deadline of 0.7 s
    Then no task of the job was placed

  Scenario: The run of a caller that has left ends although the end of its connection is lost
    # Guards against a run that goes on until its deadline, for nobody.
    Given a leader and an entry host that follows it through a relay
    When the caller of a job that runs leaves, and the end of the connection is held back
    Then the run ends within 0.6 s

  Scenario: The runs of a sender that gets no replies end
    # Guards against runs for a sender whose heartbeats arrive, and that has lost the leader.
    Given a leader and an entry host that follows it through a relay
    When a job runs while the replies to heartbeats are held back
    Then the run ends within 1.3 s

  Scenario: The run of a sender that submits jobs between all its heartbeats goes on
    # Guards against heartbeats that bring no news, since submissions have returned their stamps before.
    Given a leader and an entry host that follows it through a relay
    When a job runs for 1.2 s while its entry host submits another one after each reply
    Then that run was not stopped

  Scenario: The logs tell which submission of a job a leader read, how old it was and when it ended
    # Guards against incidents in which nobody can tell which submission a leader has started.
    Given a leader and an entry host that follows it through a relay
    When an entry host sends a job twice, the second time 0.2 s before the leader reads it
    Then lines 7101, 7110 and 7104 of the leader and 7103 of the entry host name both submissions
    And the second one's stamp was at least 200 ms old

  Scenario: A task that waits for room isn't started for a sender that may have lost the leader
    # Guards against a start between the end of the sender's lease and the end of its submission.
    Given a leader without room for the task of a job whose sender may wait no longer
    When there is room
    Then the task starts only once the sender is known to wait

  Scenario Outline: A run goes on while a submission of its job needs it
    # Guards against the end of one submission that stops the run of another one.
    Given a leader that runs a job of two submissions
    When <event>
    Then the run is not stopped, and the other submission gets its result

    Examples:
      | event                                  |
      | the sender of the first one leaves     |
      | the sender of the second one leaves    |
      | the deadline of the first one comes    |

  Scenario: A task starts for one submission after the end of another one by the same host
    # Guards against the end of one submission that is taken for the end of all.
    Given a leader without room for the task of a job that its own host has submitted twice
    When one of them ends and there is room
    Then the task starts

  Scenario Outline: A stamp keeps a sender's lease only while the sender follows the leader
    # Guards against a lease that outlasts the sender's wait, or that a leader gives for another one.
    Given a leader with the incarnation "a"
    When a sender returns a stamp of incarnation "<incarnation>" that is <age> s old
    Then its submission is <decision>

    Examples:
      | incarnation | age  | decision |
      | a           | 0.0  | taken    |
      | a           | 0.3  | taken    |
      | a           | 0.46 | refused  |
      | a           | 9.0  | refused  |
      | a           | -5.0 | refused  |
      | b           | 0.0  | refused  |

  Scenario: A sender that returns an old stamp again is not heard from
    # Guards against heartbeats that keep jobs running although none of their replies arrives.
    Given a leader with the incarnation "a"
    When a sender returns a stamp, the same one again and a newer one
    Then only the first and the last of them are news of it

  Scenario Outline: A sender's job goes on only while its heartbeats return newer stamps
    # Guards against jobs of a sender whose heartbeats arrive and that has lost the leader.
    Given a leader that runs a job of another host whose heartbeats return its stamps
    When that host sends heartbeats for 1.0 s that return <stamps>
    Then its job <goes on>

    Examples:
      | stamps           | goes on      |
      | the newest stamp | goes on      |
      | the same stamp   | is cancelled |

  Scenario: A sender isn't known to wait between the end of its lease and its next stamp
    # Guards against a start for a sender that may have lost the leader a moment ago.
    Given a leader that runs a job of another host whose heartbeats return its stamps
    When that host is silent for 0.5 s and returns a newer stamp then
    Then nothing may start for it until it returns a stamp from after its silence

  Scenario: A heartbeat with a stamp is read by earlier releases, and theirs by this one
    # Guards against hosts that lose each other while a new release is rolled out.
    When a heartbeat is encoded with a stamp and withdrawn submissions
    Then an earlier release reads its sender, and one of an earlier release has no stamp

  Scenario: A job is sent only once the leader has replied lately
    # Guards against submissions that the leader would refuse, and against a busy wait for its reply.
    Given an entry host whose leader last replied 0.4 s ago
    When it gets a job, and the leader replies 0.3 s later
    Then the job is sent with the stamp of that reply
