Feature: Orders of events found by the review of the clearances (issue 38)

  Background:
    Given two leaders of 2 upstreams in separate failure domains that share their runs

  Scenario: A reply from before a job was closed and opened again clears nothing
    # Guards against a late reply of a leader that has started the job since then.
    When a leader's question is answered late, after its job was closed, started elsewhere and opened again
    Then no two runs of a task were alive at one time

  Scenario: A leader whose replies take 0.3 s is not passed over
    # Guards against a start beside the runs of a leader that is slow and replies to each question.
    When a job is sent to a leader while the one that runs it takes 0.3 s for each reply
    Then no two runs of a task were alive at one time

  Scenario: A leader starts its jobs although another one, whose replies come late, asks it all the time
    # Guards against a failure domain that starts nothing while another leader is slow.
    When a job is sent to a leader which one asks each 0.2 s that takes 0.3 s for each reply
    Then it starts within 3 s

  @known_red
  Scenario: Two provisional leaders that know only the lost one learn of each other
    # Guards against two leaders that reach each other and ask only one that is gone.
    When a job is sent to two provisional leaders that know the terms of the lost leader only
    Then no two runs of a task were alive at one time

  Scenario: All tasks of a job that was left to another leader start once that one has no sender any more
    # Guards against a task whose queued start is dropped, and that never starts.
    When a leader with a queued start leaves a job, whose other sender then leaves
    Then all tasks of the job run

  Scenario Outline: A run of the leader before is adopted <beside>
    # Guards against runs that are lost at each change of the leader.
    When a job is sent to the next leader of one of its runs, <beside>
    Then that run is still alive after 1 s

    Examples:
      | beside                                      |
      | beside no other leader                      |
      | beside a leader that does not reply         |

    @known_red
    Examples: run of another failure domain
      | beside                                      |
      | beside a new leader of its other run        |

  Scenario: A report with the token of an earlier term takes no clearance away
    # Guards against a further round of questions to the newer leader.
    When a leader reports the token of a failure domain that another one has cleared under a newer one
    Then the job is still cleared

  Scenario: A job is asked for although 1000 earlier ones are held
    # Guards against jobs that are never asked for.
    When a leader has 1001 jobs of which another one holds the first 1000
    Then the last one is among its questions

  @known_red
  Scenario: A job starts while the new leader of another failure domain waits for a list
    # Guards against a stop of all starts at each change of the leader in one failure domain.
    When a job is sent to a leader while the new one of another failure domain waits for a list of runs
    Then it starts within 0.2 s

  Scenario: A leader that another one has lost is known to be silent before the first job comes
    # Guards against a first job that waits for the whole time after which a leader is passed over.
    When a job is sent to a leader 3 s after another one was killed
    Then it starts within 0.2 s

  Scenario: A leader leaves a job to leaders only
    # Guards against runs that are stopped for a host which leads nothing any more.
    When a host whose term has ended asks a leader about a job that both have begun
    Then the leader's run goes on

  Scenario: A submission isn't taken once its sender follows another leader
    # Guards against a start for a sender that has read of another leader, and has sent the job there.
    When the leader reads a job just after its sender has given it up for the leader of a newer term
    Then nothing was placed for the sender

  @known_red
  Scenario: A job isn't started beside its run on an upstream that the domain's new leader hasn't listed
    # Guards against a clearance by a leader that can't know the runs of the one before, which lives.
    When a job is sent to a leader while the new one of the failure domain where it runs lacks a list
    Then no two runs of a task were alive at one time
