Feature: A daemon may die or pause at any point of a submission's path
  Each example holds submissions at every point of the path before one fault hits a daemon:
  - unclaimed: the claim has not reached the platform's log;
  - queued: the claim is in the log and every slot is busy;
  - sent, started: the request is on its way to the worker, or the worker has recorded its start;
  - answered: the worker's answer has not reached the daemon that runs the task, or has reached it
    but not the entry daemon, where the fault hits only the former;
  - returned: the entry daemon has the whole answer, the caller has not.
  The only worker belongs to d1, which so runs what callers submit to d2. Every example ends with a
  check of all answers against the worker's own start records.

  Scenario Outline: A <fault> hits <victim> while submissions to <entry> are on their way
    Given kill points in a deployment of 3 daemons
    When kill points hold submissions to <entry> at every point until a <fault> hits <victim>
    Then kill points see repetitions at every living daemon end alike
      | point     | end         |
      | unclaimed | <unclaimed> |
      | queued    | <queued>    |
      | sent      | <begun>     |
      | started   | <begun>     |
      | answered  | <answered>  |
      | returned  | <returned>  |
    And kill points see other content refused as a conflict
    And the submissions' answers agree with the start records

    Examples: d1 runs what is submitted to it
      | fault | victim | entry | unclaimed | queued       | begun        | answered     | returned     |
      | kill  | d1     | d1    | any       | may-have-run | may-have-run | may-have-run | may-have-run |
      | pause | d1     | d1    | complete  | complete     | complete     | complete     | complete     |

    # A helper pulls a task ahead of its free slots, so what is queued may be with the one that dies.
    Examples: d1 runs what is submitted to d2
      | fault | victim | entry | unclaimed | queued       | begun        | answered     | returned     |
      | kill  | d1     | d2    | complete  | any          | may-have-run | any          | complete     |
      | pause | d1     | d2    | complete  | complete     | complete     | complete     | complete     |
      | kill  | d2     | d2    | any       | may-have-run | may-have-run | may-have-run | may-have-run |
      | pause | d2     | d2    | complete  | complete     | complete     | complete     | complete     |

  Scenario: Other content does not hide that an abandoned attempt never started
    Given kill points in a deployment of 3 daemons
    When kill points delay the claim of a key at d1 until it is refused
    And kill points see other content under the key refused as a conflict at d1
    Then kill points see the first content under the key complete at d1
    And the submissions' answers agree with the start records
