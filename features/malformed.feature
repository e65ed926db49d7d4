Feature: Malformed messages from outside
  One message that can't be understood is refused or ignored where it arrives. It never ends the
  process, and never changes what the host believes.

  Scenario Outline: Damaged messages are decoded or refused with the declared error
    Then arbitrarily damaged examples of "<message>" are decoded or refused as declared

    Examples:
      | message              |
      | job                  |
      | deadline header      |
      | job id               |
      | report of an upstream |
      | reply to a start     |
      | directory entry      |
      | term                 |
      | configuration        |
      | page of the store    |
      | records of the store |
      | heartbeat            |
      | heartbeat reply      |
      | submission           |
      | answer               |
      | settings             |

  Scenario Outline: A job that can't be run is refused at once with 400
    # Guards against a job that exhausts the memory, or ends the scheduler with an index error.
    Then a job with "<fault>" is answered 400 without being submitted

    Examples:
      | fault                       |
      | a billion tasks             |
      | no steps                    |
      | a step of no tasks          |
      | a negative need             |
      | a step after itself         |
      | a step after a missing one  |
      | a step after number -1      |
      | deep nesting                |
      | an id with a dot            |
      | an id that is too short     |

  Scenario: An outcome that isn't known counts as a failed run
    Then a report with an unknown outcome is read as a failed run

  Scenario: A refusal of unknown reason is not taken for an answer
    Then an answer of a peer with an unknown reason is refused as malformed

  Scenario: A stop that an overloaded upstream refuses is sent again
    # A refused stop was taken for confirmed, so that the run went on.
    Given a leader of 1 in-memory upstreams with room for two tasks each
    When a job is cancelled while the upstream refuses the first stop as overloaded
    Then the stop is sent again until it is carried out

  Scenario: An unexpected error in one session ends neither the others nor the scheduler
    Given a leader of 2 in-memory upstreams with room for two tasks each
    When the connection to one of them fails with an unexpected error
    Then the error is reported, and a job is answered as succeeded
    And the session with that upstream starts again
