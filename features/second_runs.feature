Feature: Second runs of a task
  Two leaders share in-memory upstreams with leases and fencing tokens, and a caller sends its job a
  second time. No order of events starts a task beside its own earlier run.

  Scenario Outline: An adopted run is not taken for ended while its earlier leader's lease may last
    # Guards against a start beside an adopted run whose lease the new leader hasn't extended yet.
    Given two leaders of 2 upstreams that share their runs
    When an upstream with an adopted run and an orphan <event>
    Then no two runs of a task were alive at one time

    Examples:
      | event                                       |
      | leaves the directory                        |
      | falls silent as its leader's token is newer |

  Scenario Outline: A job isn't started beside its run on an upstream that the directory lacks at times
    # Guards against a second run while a leader that the store doesn't answer goes on with the first.
    Given two leaders of 2 upstreams that share their runs
    When a job is sent again to a new leader <whose view>
    Then no two runs of a task were alive at one time

    Examples:
      | whose view                                              |
      | that loses the entry of its run after it was listed    |
      | that reads the entry of its run only later in its term |

    @known_red
    Examples: Unknown since before the term
      | whose view                                            |
      | whose directory has just lost the upstream of its run |

  Scenario Outline: Leaders that take turns don't start a task beside a run of the other's term
    # Guards against a job that outlives a term, and of which another leader's runs are taken for ended.
    Given two leaders of 2 upstreams that share their runs
    When the second leader <event>
    Then no two runs of a task were alive at one time

    Examples:
      | event                                                                      |
      | adopts a job's run, and the first one leads again without reaching it      |
      | starts a job anew, and the first one leads again without reaching that run |

  Scenario Outline: A leader that an upstream has refused starts and extends no runs on the others
    # Guards against a refused leader that keeps a run alive where its successor gets no reply.
    Given two leaders of 2 upstreams that share their runs
    When a leader that alone reaches an upstream is refused by the other one <event>
    Then no two runs of a task were alive at one time

    Examples:
      | event                  |
      | while a job runs there |
      | and then gets a job    |

  Scenario: A leader that loses a failure domain doesn't start its tasks elsewhere
    # Guards against a second run in another failure domain, while the new leader adopts the first.
    Given two leaders of 2 upstreams in separate failure domains that share their runs
    When a job's failure domain gets another leader, to which its caller sends the job again
    Then no two runs of a task were alive at one time

  Scenario: A leader that is replaced names the runs that it is still stopping
    # Guards against a job whose first submission has ended, given back as if it had never run.
    Given two leaders of 2 upstreams that share their runs
    When a job is sent again while its first run can't be stopped, and the leader is replaced
    Then the job is given back with the upstream of that run
    And no two runs of a task were alive at one time

  Scenario: A leader that was paused names the runs of a job that it gives back
    # Guards against a second submission that is given back as if the job had never run.
    Given two leaders of 2 upstreams that share their runs
    When a job is sent again to the leader that runs it, just after its process was paused
    Then the job is given back with the upstream of that run

  Scenario: A job that is sent to the leaders of two failure domains is one job
    # Guards against two full runs of a job whose caller has sent it again (review/1).
    Given two leaders of 2 upstreams in separate failure domains that share their runs
    When a job is sent to the leaders of both failure domains
    Then no two runs of a task were alive at one time

  Scenario: A job starts for the second of two callers of the leader's own host
    # Guards against a job that waits in vain, since the caller who left counts for both.
    Given two leaders of 2 upstreams that share their runs
    When the first of two callers of a waiting job leaves
    Then the job is started

  Scenario: The jobs of an entry host that has started anew are cancelled
    # Guards against runs that go on since the heartbeats of a later process are taken for the sender's.
    Given a leader that runs a job of another host which sends heartbeats
    When that host starts anew before its silence shows, and the end of its connection gets lost
    Then the job of its earlier life is cancelled before callers send it again

  Scenario: A leader that learns that a task is done stops its run
    # Guards against a run that nobody stops, and that goes on under renewed leases after a 504.
    Given two leaders of 2 upstreams that share their runs
    When a leader is told that a task which it runs is done, and the job's deadline comes
    Then every run of the job has ended when its caller sends it again

  Scenario: A job that is sent again waits for its run that can't be stopped
    # Guards against a start beside a run of the same job's ended submission.
    Given two leaders of 2 upstreams that share their runs
    When a job is sent again to the same leader while its first run can't be stopped
    Then no two runs of a task were alive at one time

  Scenario: A leader that gets a newer token while it stops a run starts nothing beside it
    # Guards against a run that is forgotten with the session that was stopping it.
    Given two leaders of 2 upstreams that share their runs
    When a job is sent again to a leader that gets a newer token while it stops the first run
    Then no two runs of a task were alive at one time

  Scenario: A start that arrives after the next leader's list is refused
    # Guards against a run that starts unnoticed after its upstream has listed its runs.
    Given two leaders of 2 upstreams that share their runs
    When a start is under way while the next leader gets the list of runs and the job
    Then no two runs of a task were alive at one time
