Feature: A daemon may be killed or paused at any point of a submission's path
  Each example holds submissions at every point of the path, then kills or pauses one daemon:
  - unclaimed: the claim has not reached the platform's log;
  - queued: the claim is in the log, but every slot is busy;
  - sent, started: the request is on its way to the worker, or the worker has recorded its start;
  - answered: the worker's answer has not reached the daemon that runs the task; in examples whose
    fault hits that daemon but not the entry daemon, it has reached the former only;
  - returned: the entry daemon has the whole answer, but the caller does not.
  The only worker belongs to d1, so d1 also runs what callers submit to d2. Every example ends with a
  check of all answers against the worker's own start records.

  Scenario Outline: A <fault> hits <victim> while submissions to <entry> are in progress
    Given a deployment of 3 daemons that share one worker
    When submissions to <entry> are held at every point until a <fault> hits <victim>
    Then resubmissions get the same answer at every live daemon
      | point     | end         |
      | unclaimed | <unclaimed> |
      | queued    | <queued>    |
      | sent      | <begun>     |
      | started   | <begun>     |
      | answered  | <answered>  |
      | returned  | <returned>  |
    And other content under the same keys is refused as a conflict
    And the submissions' answers agree with the start records

    Examples: d1 runs what is submitted to it
      | fault | victim | entry | unclaimed | queued       | begun        | answered     | returned     |
      | kill  | d1     | d1    | any       | may-have-run | may-have-run | may-have-run | may-have-run |
      | pause | d1     | d1    | complete  | complete     | complete     | complete     | complete     |

    # A daemon pulls tasks before it has free slots for them, so a queued task may be at the killed one.
    Examples: d1 runs what is submitted to d2
      | fault | victim | entry | unclaimed | queued       | begun        | answered     | returned     |
      | kill  | d1     | d2    | complete  | any          | may-have-run | any          | complete     |
      | pause | d1     | d2    | complete  | complete     | complete     | complete     | complete     |
      | kill  | d2     | d2    | any       | may-have-run | may-have-run | may-have-run | may-have-run |
      | pause | d2     | d2    | complete  | complete     | complete     | complete     | complete     |

  Scenario: A conflict does not hide that an abandoned submission never started
    Given a deployment of 3 daemons that share one worker
    When the log delays the claim of a key until d1 refuses the submission
    And d1 refuses other content under that key as a conflict
    Then the first content under that key completes at d1
    And the submissions' answers agree with the start records
