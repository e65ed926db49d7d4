Feature: Submissions start once and are answered whole
  Every scenario ends with a check of all answers against the workers' own start records.

  Scenario: Resubmissions join the first execution or are refused truthfully
    Given a checked deployment of 3 daemons
    When submissions with chosen keys are repeated at every daemon while in flight and after
    And submissions with prefixed keys are repeated at every daemon while in flight and after
    And chosen keys are first sent to every daemon at once
    And keys are repeated with other content
    Then the submissions' log refusing leaves prefixed keys running and refuses chosen ones truthfully
    And a lost append answer delays a submission but starts it once
    And submissions whose executor is killed are answered as possibly run
    And the submissions' answers agree with the start records

  Scenario: Worker faults lead to truthful outcomes and no second start
    Given a checked deployment of 2 daemons
    Then submissions complete while one worker refuses connections
    And submissions complete while one worker's guard refuses
    And submissions that workers reset, truncate or fail are sent once
    And idempotent single submissions are retried when workers reset or fail
    And retried submissions that end at their deadline are never called not run
    And submissions that hang end at their deadline as possibly run
    And the submissions' answers agree with the start records

  Scenario: Cancellation in waves runs no queued task and denies no start
    Given a checked deployment of 3 daemons
    When waves of submissions are cancelled at random moments
    Then some cancelled submissions have tasks that never ran
    And the submissions' answers agree with the start records

  Scenario: A cancelled job is seen as cancelled by everyone who asks for it
    # Guards against a cancellation that is lost while the claim waits, or reads like a failure.
    Given a checked deployment of 2 daemons
    When a half started job, a waiting job and a job whose claim waits are cancelled elsewhere
    Then their callers, later requests and resubmissions see the same cancellation
    And the submissions' answers agree with the start records

  Scenario: A window that no load explains is refused as unreachable, without a time to retry
    Given a checked deployment of 1 daemons
    Then a submission whose tasks alone exceed its window is refused as unreachable
    And the submissions' answers agree with the start records
