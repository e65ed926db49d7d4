Feature: Publishing tables from the command line
  Operators publish at the same time, and the log may be unavailable or lose its responses. In
  every case, each parent has at most one child in force, nothing is published twice, and the
  command says what happened.

  Background:
    Given a publish platform

  Scenario: A revision must name the revision in force as its parent
    When a publish of the example tables without a parent exits 0
    And a publish with "slots = 8" changed to "slots = 4" and no parent exits 3
    Then the publish output says "name the revision that the files were edited from"
    When a publish with "slots = 8" changed to "slots = 4" and the parent in force exits 0
    Then the publish output says "slots 8 -> 4"
    When a publish with "weight = 2.0" changed to "weight = 5.0" and the first parent exits 3
    Then the publish output says "nothing was published"
    And the publish output says "slots 8 -> 4"
    And the publish log holds 2 records and 2 accepted revisions

  Scenario: Tables that are already in force are not published again
    When a publish of the example tables without a parent exits 0
    And a publish of the example tables with the parent in force exits 0
    Then the publish output says "nothing to publish"
    And the publish log holds 1 records and 1 accepted revisions

  Scenario: Invalid tables are not published
    When a publish with "slots = 8" changed to "slots = 0" and no parent exits 1
    Then the publish output says "pools[1].upstreams[1].slots"
    And the publish log holds 0 records and 0 accepted revisions

  Scenario Outline: Of ten operators who publish on one parent exactly one succeeds
    If two did, daemons would have different tables, or one operator's change would be lost silently.
    Given the publish platform answers appends with <fault>
    When a publish of the example tables without a parent exits 0
    And 10 concurrent publishes on the parent in force all end
    And 10 concurrent publishes on the parent in force all end
    Then each publish parent has exactly one accepted child
    And of each 10 concurrent publishes 1 exited 0 and 9 exited 3

    Examples:
      | fault          |
      | a delay        |
      | lost responses |

  Scenario: Of ten operators who have read the log to the same end exactly one succeeds
    When a publish of the example tables without a parent exits 0
    Given the publish platform holds back appends
    When 10 concurrent publishes on the parent in force have sent their appends
    And the publish platform lets 10 appends pass
    And the concurrent publishes end
    Then each publish parent has exactly one accepted child
    And of each 10 concurrent publishes 1 exited 0 and 9 exited 3
    And the publish log holds 11 records and 2 accepted revisions

  Scenario: A lost response to the append does not publish twice
    Given the publish platform answers appends with lost responses
    When a publish of the example tables without a parent exits 0
    Then the publish output says "is in force"
    And the publish log holds 1 records and 1 accepted revisions

  Scenario: Publishing during an outage reports that nothing was published
    Given the publish platform refuses everything
    When a publish of the example tables without a parent exits 4
    Then the publish output says "the log is unavailable, nothing was published"
    Given the publish platform works again
    Then the publish log holds 0 records and 0 accepted revisions

  Scenario: Publishing with a refused append reports that nothing was published
    Given the publish platform refuses appends
    When a publish of the example tables without a parent exits 4
    Then the publish output says "nothing was published"
    Given the publish platform works again
    Then the publish log holds 0 records and 0 accepted revisions

  Scenario: Publishing reports an unknown result if an outage begins after the append
    Given the publish platform holds back appends
    When 1 concurrent publishes on the parent in force have sent their appends
    And the publish platform takes the appends and refuses reads
    And the concurrent publishes end
    Then the concurrent publish output says "unknown whether revision"
    Given the publish platform works again
    Then of each 1 concurrent publishes 1 exited 5 and 0 exited 3
    And the publish log holds 1 records and 1 accepted revisions
    When a publish of the example tables without a parent exits 3
    Then the publish log holds 1 records and 1 accepted revisions

  Scenario: A log that lost the revision in force needs a Keep record or a restart
    When a publish of the example tables without a parent exits 0
    And a publish with "slots = 8" changed to "slots = 4" and the parent in force exits 0
    And the publish log loses every record
    And a publish with "slots = 8" changed to "slots = 2" and the parent in force exits 4
    Then the publish output says "no longer shows which revision is in force"
    When a daemon appends a Keep record of the published revision
    And a publish with "slots = 8" changed to "slots = 2" and the parent in force exits 0
    And the publish log loses every record
    And a publish with restart exits 0
    And a publish with restart exits 3
    Then the publish output says "omit --restart"

  Scenario: The diff and history commands show changes and published revisions
    When a publish of the example tables without a parent exits 0
    Then a publish preview with "window_ms = 5000" changed to "window_ms = 4000" shows one change
    And the publish history shows the revision in force

  Scenario: A job whose response was lost is resubmitted under its key, and no task starts twice
    Given a publish daemon with 2 workers behind a proxy
    When the publish proxy loses one response
    And the job command "submit check a b c --key seat-7" exits 0
    Then the publish output says "answer:c"
    And the publish proxy has lost 1 response
    And the publish workers started 3 tasks, each once

  Scenario: Job commands report what ran
    Given a publish daemon with 2 workers behind a proxy
    When the job command "submit check a b" exits 0
    Then the publish output says "answer:b"
    When the job command "submit check a --async --key seat-8" exits 0
    And the job command "fetch seat-8 --wait-ms 30000" exits 0
    Then the publish output says "answer:a"
    When the job command "cancel seat-8" exits 0
    And the job command "submit nowhere a" exits 4
    Then the publish output says "unknown-route"
    When the job command "submit check other --key seat-8" exits 5
    Then the publish output says "conflict"
    When the job command "submit check" exits 2
    And the job command "submit check a --daemon-url http://127.0.0.1:1" exits 4
    Then the publish output says "nothing was submitted"
    And the publish workers started 3 tasks, each once

  Scenario: A cancelled job counts as failed
    Given a publish daemon with 2 workers behind a proxy
    When 40 slow tasks are submitted and cancelled by job commands under the key "seat-9"
    And the job command "fetch seat-9 --wait-ms 30000" exits 1
    Then the publish output says "cancelled"

  Scenario: A job without a response may have run, and the command says so
    Given a publish daemon with 2 workers behind a proxy
    When the publish proxy loses every response
    And the job command "submit check a --key seat-9 --attempts 2" exits 5
    Then the publish output says "may have run"
    And the publish workers started 1 tasks, each once

  Scenario: Status shows the revision in force of each daemon and counts unreachable daemons
    Given a publish daemon with 2 workers behind a proxy
    Then the job command status shows the revision in force
    And the job command status with an address where nothing listens exits 4

  Scenario: Replaying a trace reports the outcome of each job
    The trace has 36 jobs on a known route with 108 tasks, and 4 jobs on an unknown one.
    Given a publish daemon with 2 workers behind a proxy
    When a publish trace of 40 jobs is replayed with concurrency 5
    Then the replayed publish trace has 36 complete and 4 "refused: unknown-route" jobs
    And the publish workers started 108 tasks, each once

  Scenario: A malformed trace is refused with each bad line before anything is sent
    Given a publish daemon with 2 workers behind a proxy
    When a malformed publish trace is replayed, the command exits 2
    Then the publish output says "2     not JSON"
    And the publish output says "3     a job has 1 to 300 tasks, not 0"
    And the publish workers started 0 tasks, each once
