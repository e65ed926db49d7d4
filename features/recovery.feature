Feature: Answers stay whole and truthful while daemons stop, die, pause or lose each other
  Every scenario ends with a check of all answers against the workers' own start records.

  Scenario: SIGTERM under load answers every accepted request
    Given a checked deployment of 2 daemons
    When recovery load runs at every daemon
    And recovery sends SIGTERM to d1 under load that outlasts the drain delay
    Then recovery sees d1 exit with code 0 and every accepted request answered
    When recovery starts d1 again
    Then recovery sees d2 forward to the restarted d1
    When recovery sends SIGTERM twice to d1 while long work runs
    Then recovery sees d1 exit with code 0 and every caller answered
    And the submissions' answers agree with the start records

  Scenario: Rolling replacement of three daemons fails no request
    Given a checked deployment of 3 daemons
    When recovery replaces every daemon while callers retry only what did not run
    Then recovery sees that no caller's request failed
    And the submissions' answers agree with the start records

  Scenario: The death of an entry daemon or of a pulling daemon starts nothing twice
    Given a checked deployment of 3 daemons
    When recovery kills d2 while it runs tasks pulled from d1
    Then recovery sees every caller of d1 answered and resubmissions agreeing
    When recovery kills the entry daemon d1 under load
    Then recovery sees resubmissions to d3 refused as possibly run
    And the submissions' answers agree with the start records

  Scenario: A paused daemon starts nothing twice after it resumes
    Given a checked deployment of 3 daemons
    When recovery pauses d2 for 4 s while it runs work
    Then the submissions' answers agree with the start records

  Scenario: Partitions keep prefixed keys and unkeyed requests running
    Given a checked deployment of 3 daemons
    When recovery cuts each pair of daemons in turn under load
    And recovery cuts each daemon from the platform under load
    And recovery cuts d2 from the platform and from every daemon
    Then the submissions' answers agree with the start records

  Scenario Outline: A task whose message met the end of a session is settled by that message
    Given a mover with 3 queued tasks
    When the restarted peer pulls 2 tasks from the mover
    And the mover's session <session> ends with that message <state>
    Then the mover has <queued> tasks queued and <unknown> that may have run

    Examples:
      | session                    | state          | queued | unknown |
      | with the first incarnation | unsent         | 3      | 0       |
      | with the first incarnation | unacknowledged | 1      | 2       |
      | that never opened          | unsent         | 3      | 0       |

  Scenario: A Pull whose answer was lost is sent again
    Given a mover with 0 queued tasks
    When a peer offers 4 tasks to the mover every 0.2 s for 4 s and never answers
    Then the mover has sent that peer 4 Pull requests

  Scenario: A pool that left the tables is served until no daemon has tasks queued for it
    Given a checked deployment of 2 daemons
    When the pool of a job queued at d2 is removed while d2 can send nothing to d1
    And the link from d2 to d1 heals
    Then d1 runs tasks of that job
    And the submissions' answers agree with the start records

  Scenario: A failure domain that is cut off serves with its own upstreams
    Given a checked deployment of 3 daemons
    When the failure domain fd3 is cut off from the others and from the platform
    Then jobs complete at d3 while it reaches only the upstreams of fd3
    And jobs complete at d1 and d2 while they reach only the upstreams of fd1 and fd2
    When the failure domain fd3 is joined again
    Then every daemon has its upstreams back and completes jobs
    And the submissions' answers agree with the start records

  # Guards against callers of a paused daemon that wait for their whole limit.
  Scenario: An answer that a stalled link could not take is sent after a heartbeat of the peer
    Given an answer to a peer whose link has stalled
    When that peer sends a heartbeat, and later others over a link that works
    Then the peer gets the answer once

  # Guards against refusals while a daemon has received a heartbeat of a new peer and not yet read its
  # address.
  Scenario: A forwarded submission waits for the link to a peer that already sends heartbeats
    When a submission is forwarded to a live peer that has no link for the first 3 polls
    Then its answer is the peer's

  # Guards against a DELETE that is answered 202 and never reaches the daemon that runs the job.
  Scenario: A cancellation waits for the link to a peer that already sends heartbeats
    When a cancellation is sent to a live peer that has no link for the first 3 polls
    Then the peer gets the cancellation once
