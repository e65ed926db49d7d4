Feature: Answers stay complete and correct while daemons stop, crash, pause or lose contact
  Every scenario ends with a check of all answers against the workers' own start records.

  Scenario: SIGTERM under load answers every accepted request
    Given a checked deployment of 2 daemons
    When every daemon is under load
    And d1 gets SIGTERM under load that outlasts the drain delay
    Then d1 exits with code 0 and every accepted request is answered
    When d1 starts again and all daemons serve
    Then d2 forwards to the restarted d1
    When d1 gets SIGTERM twice while long tasks run
    Then d1 exits with code 0 and every caller is answered
    And the submissions' answers agree with the start records

  Scenario: Rolling replacement of three daemons fails no request
    Given a checked deployment of 3 daemons
    When every daemon is replaced while callers retry only what did not run
    Then no caller's request has failed
    And the submissions' answers agree with the start records

  Scenario: Killing an entry daemon or a pulling daemon starts nothing twice
    Given a checked deployment of 3 daemons
    When d2 is killed while it runs tasks pulled from d1
    Then every caller of d1 is answered and resubmissions get the same answers
    When the entry daemon d1 is killed under load
    Then resubmissions to d3 are refused as possibly run
    And the submissions' answers agree with the start records

  Scenario: A paused daemon starts nothing twice after it resumes
    Given a checked deployment of 3 daemons
    When d2 is paused for 4 s while it runs tasks
    Then the submissions' answers agree with the start records

  Scenario: Partitions keep prefixed keys and unkeyed requests running
    Given a checked deployment of 3 daemons
    When the links between each pair of daemons are cut in turn under load
    And the link of each daemon to the platform is cut in turn under load
    And d2 is cut off from the platform and from every daemon
    Then the submissions' answers agree with the start records

  Scenario Outline: A session's end requeues unsent tasks, and unacknowledged tasks may have run
    Given a mover with 3 queued tasks
    When the restarted peer pulls 2 tasks from the mover
    And the mover's session <session> ends with that message <state>
    Then the mover has <queued> tasks queued and <unknown> that may have run

    Examples:
      | session                    | state          | queued | unknown |
      | with the first incarnation | unsent         | 3      | 0       |
      | with the first incarnation | unacknowledged | 1      | 2       |
      | that never opened          | unsent         | 3      | 0       |

  Scenario: A Pull is repeated to a peer whose answer was lost
    Given a mover with 0 queued tasks
    When a peer offers 4 tasks to the mover every 0.2 s for 4 s and never answers
    Then the mover has sent that peer 4 Pull requests

  Scenario: A pool removed from the tables is served until no daemon has tasks queued for it
    Given a checked deployment of 2 daemons
    When the pool of a job queued at d2 is removed while the link from d2 to d1 is cut
    And the link from d2 to d1 heals
    Then d1 runs tasks of that job
    And the submissions' answers agree with the start records

  Scenario: A failure domain that is cut off serves with its own upstreams
    Given a checked deployment of 3 daemons
    When the failure domain fd3 is cut off from the others and from the platform
    Then jobs complete at d3 while it reaches only the upstreams of fd3
    And jobs complete at d1 and d2 while they reach only the upstreams of fd1 and fd2
    When the failure domain fd3 is connected again
    Then every daemon has its upstreams back and completes jobs
    And the submissions' answers agree with the start records

  # Guards against losing answers to a paused daemon, whose callers would then wait until they time out.
  Scenario: An answer that a stalled link did not take is sent after the peer's next heartbeat
    Given an answer to a peer whose link has stalled
    When that peer sends a heartbeat while the link is stalled and another once it works
    Then the peer gets the answer once

  # Guards against refusals after a new peer's first heartbeat, before the host list has its address.
  Scenario: A forwarded request waits for the link to a peer that already sends heartbeats
    When a request is forwarded to a peer whose link is only found after 3 polls
    Then its answer is that of the peer

  # Guards against a DELETE that is answered 202 and never reaches the daemon that runs the job.
  Scenario: A cancellation waits for the link to a peer that already sends heartbeats
    When a cancellation is sent to a peer whose link is only found after 3 polls
    Then the peer gets the cancellation once
