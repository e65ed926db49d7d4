Feature: One leader decides on a job that reaches the leaders of several failure domains

  Background:
    Given two leaders of 2 upstreams in separate failure domains that share their runs

  Scenario: A job that reaches two leaders at once is started by one of them
    # Guards against two leaders that each clear the other while neither has begun.
    When a job reaches both leaders at the same moment 20 times
    Then each job was placed by one leader
    And no two runs of a task were alive at one time

  Scenario: A leader whose term another one hasn't heard of asks it first
    # Guards against a start beside the job of a leader that doesn't know the newer term.
    When a job is sent to a leader, and then to one whose newer term the first hasn't heard of
    Then no two runs of a task were alive at one time

  Scenario: A leader that hasn't heard of a newer term learns of it before that one starts anything
    # Guards against a start by a leader that asks nobody, as it knows of no other.
    When a job is sent to a leader with a newer term, and then to one that hasn't heard of it
    Then no two runs of a task were alive at one time

  Scenario: A job is started elsewhere once its first caller has left and its run has ended
    # Guards against a second submission that waits in vain, and against one that starts too early.
    When the first caller of a job that was sent to both leaders leaves
    Then the second leader runs the job after the first run has ended

  Scenario: A second submission gets the answer of the leader that has run the job
    # Guards against a job that runs again as it reaches another leader after its success.
    When a job is sent to the second leader just after the first one has succeeded
    Then the second leader answers succeeded without a run

  Scenario: A leader starts a job although another one doesn't reply
    # Guards against a failure domain that stops serving while another one is cut off.
    When a job is sent to a leader while another one has not replied for a while
    Then the job runs

  Scenario: A job isn't started beside the runs of a leader that was killed
    # Guards against a start within the lease of runs whose leader can't say that it held the job.
    When a leader is killed while it runs a job that is sent to another one
    Then no two runs of a task were alive at one time

  Scenario: A job that was left to a leader runs although that one is killed
    # Guards against a caller who waits in vain for the answer of a leader that is gone.
    When a leader is killed to which another one has left a job
    Then the second leader runs the job after the first run has ended

  Scenario: A marked job starts once the other leader's lists rule its earlier runs out
    # Guards against a wait of 2 s, or a 504, for runs of which another leader knows that there are none.
    When a job that may run in both failure domains is sent to a leader that leads one of them
    Then the job starts less than 1 s later

  Scenario: A reply from before a job was deferred clears nothing
    # Guards against a late reply of a leader that has received the job since then.
    When a reply arrives after the job was left to the leader that sent it
    Then the job isn't cleared

  Scenario: A job that comes while a question is under way is asked for right after its reply
    # Guards against a wait for the next retry, which takes most of a short job's objective.
    When a job is sent to a leader while its question for another job is under way
    Then the job starts less than 1 s later

  Scenario: A single leader asks nobody
    # Guards against a round trip for each job where no other leader exists.
    When a job is sent to the only leader
    Then the job runs
    And no other host was asked
