Feature: A failure domain that works doesn't wait for one that doesn't (issue 41)

  Background:
    Given two leaders of 2 upstreams in separate failure domains that share their runs

  Scenario: A job starts while the leader of another failure domain stands still
    # Guards against starts of all failure domains that wait for one silent leader.
    When a job is sent to a leader while another one has just fallen silent
    Then it starts within 0.2 s

  Scenario: A job starts while the new leader of another failure domain waits for a list of runs
    # Guards against a stop of all starts at each change of the leader in one failure domain.
    When a job is sent to a leader while another failure domain's new leader waits for a list
    Then it starts within 0.2 s

  Scenario: Jobs start while another failure domain changes its leader over and over
    # Guards against a wait that begins anew with each leader that never replies.
    When a job is sent to a leader each 0.2 s while another failure domain gets a silent leader each 0.5 s
    Then each of the jobs starts within 0.7 s, and the last 3 within 0.2 s

  Scenario: A new leader isn't asked about the jobs of all others
    # Guards against a new leader whose heartbeats come late since it has to answer questions.
    When a failure domain gets a new leader while 400 jobs wait at another one
    Then the new leader gets at most 10 questions about jobs in 0.5 s

  Scenario Outline: A job that its caller has sent again isn't started beside its run, <while>
    # Guards against a second run by a leader that asks nobody about a job that has just been sent.
    When the caller of a running job sends it to the other leader 1.3 s after the first time, <while>
    Then no two runs of a task were alive at one time

    Examples:
      | while                                                              |
      | while all leaders reply                                            |
      | while the first leader takes 0.3 s for each reply                  |
      | just after the first leader was killed                             |
      | while the first leader's failure domain has a new leader           |
      | while the first leader's failure domain's new leader lists late    |

  Scenario: A submission that was held up on its way is asked about
    # Guards against a second run of a job of which a late submission looks as if it had just been sent.
    When a running job reaches the other leader by a submission that was sent 0.5 s before
    Then no two runs of a task were alive at one time
    And the other leader has placed nothing

  Scenario: A job doesn't start on what another leader has told too long ago
    # Guards against a start beside the run of a job that was taken after the last report.
    Given a leader whose reports another one has had until now
    Then a job that has just been sent is cleared
    But one that is sent 0.9 s later isn't
    And neither is one under a term that the other leader hasn't been told of
    And neither is one of a caller that may send a job again at any time

  Scenario: A new leader opens the sessions with its upstreams a few at a time
    # Guards against a new leader that is lost since it answers no heartbeat while it opens them all.
    When a leader that does nothing else gets 60 upstreams, the first 20 of which don't reply
    Then it has asked at most 8 of them for their runs before it does anything else
    And the others have listed their runs within 0.2 s

  Scenario: A leader that doesn't know a question isn't asked without a pause
    # Guards against messages in a tight loop to a leader whose replies leave a job out.
    When a leader asks another one about a job, and the replies don't mention it
    Then the other leader gets at most 20 messages in 0.5 s

  Scenario: A job that has lost its clearance waits without spinning
    # Guards against a wait that ends at once again and again, since the job was cleared before.
    When a waiting job whose sender is silent is cleared, and then another leader gets a new term
    Then its clearance is looked at no more than 200 times in 0.5 s
