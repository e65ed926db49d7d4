Feature: Runs of earlier leaders count as alive until it is known that they have ended

  Scenario: A listed run isn't started again once its upstream has left the directory
    # Guards against a run that is judged lost by a lease that this leader has never given (issue 35).
    Given a leader of 2 upstreams, of which "u0" lists a run of an earlier leader
    When its job is submitted, and "u0" leaves the directory
    Then the task doesn't start on "u1" before a full lease after the list
    And it starts there within 1 s after that

  Scenario: A run that nobody has adopted gives its task free once its lease must have ended
    # Guards against a task that waits for good for a run on an upstream that replies no more.
    Given a leader of 2 upstreams, of which "u0" lists a run of an earlier leader
    When "u0" replies no more, and its job is submitted after a full lease
    Then the task starts on "u1" within 1 s

  Scenario Outline: No task starts before each upstream has listed its runs
    # Guards against a second run of a task that runs on an upstream out of reach (issue 35, order B).
    Given a leader of 2 upstreams, of which "u0" has a run of an earlier leader and is <state>
    When its job is submitted as if it came for the first time, and again once "u0" replies
    Then the first submission is refused, and nothing starts on "u1"
    And the second one is answered as succeeded by the run on "u0"

    Examples:
      | state                     |
      | silent                    |
      | refusing connections      |
      | shown by the second read  |

  Scenario: Tasks start beside an upstream that never replies
    # Guards against a leader that serves nothing for as long as one entry leads to no upstream.
    Given a leader of 2 upstreams, of which "u0" has a run of an earlier leader and is silent
    When a job is submitted after the lifetime of unknown runs
    Then the task starts on "u1" within 1 s

  Scenario: An upstream that reports itself and never replies holds up the others for 5 s at most
    # Guards against a leader that serves nothing since one upstream is out of its reach.
    Given a leader of 2 upstreams, of which "u0" has a run of an earlier leader and is silent
    When "u0" goes on reporting itself, and a job is submitted after 3 s and after 5 s
    Then only the second submission starts the task

  Scenario: A lease isn't extended while a stop is unconfirmed
    # Guards against holds that keep a run alive whose stops get lost (issue 35).
    Given a leader of an upstream that replies to holds and loses every stop
    When the caller of a job leaves while its task runs
    Then no hold extends the lease after that
