Feature: Submissions start once and get complete answers
  Every scenario ends with a check of all answers against the starts that the workers recorded.

  Scenario: Resubmissions join the first execution or are refused with a correct reason
    Given a checked deployment of 3 daemons
    When submissions with chosen keys are repeated at every daemon while in flight and after
    And submissions with prefixed keys are repeated at every daemon while in flight and after
    And chosen keys are first sent to every daemon at once
    And keys are repeated with other content
    Then submissions with prefixed keys run while the log refuses, and chosen keys are refused correctly
    And a submission whose append loses its answer is delayed but starts once
    And submissions whose executor is killed are answered as may-have-run
    And the submissions' answers agree with the start records

  Scenario: Worker faults lead to correct outcomes and no second start
    Given a checked deployment of 2 daemons
    Then submissions complete while one worker refuses connections
    And submissions complete while one worker's guard refuses
    And submissions that workers reset, truncate or fail are sent once
    And idempotent single submissions are retried when workers reset or fail
    And retried submissions that end at their deadline are never answered as not-run
    And submissions that hang end at their deadline as may-have-run
    And the submissions' answers agree with the start records

  Scenario: Cancelling many submissions runs no queued task and hides no start
    Given a checked deployment of 3 daemons
    When waves of submissions are cancelled at random moments
    Then some cancelled submissions have tasks that never ran
    And the submissions' answers agree with the start records

  Scenario: A cancelled job is seen as cancelled by everyone who asks for it
    # Guards against a cancellation that is lost while the claim is pending, or looks like a failure.
    Given a checked deployment of 2 daemons
    When a partly started job, a queued job and a job with a pending claim are cancelled elsewhere
    Then their callers, later requests and resubmissions get the same cancellation
    And the submissions' answers agree with the start records

  Scenario: A window too short even without load is refused as unreachable, without Retry-After
    Given a checked deployment of 1 daemons
    Then a submission whose tasks alone exceed its window is refused as unreachable
    And the submissions' answers agree with the start records
