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
      | terms of another host |
      | question of a leader |
      | reply to a question  |
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

  Scenario Outline: An odd directory entry names no upstream, and the list is followed on
    # Guards against a host that stops following the list, or ends, at an entry of another writer.
    Then a directory with an entry with "<oddity>" lists the other upstreams and follows changes

    Examples: addresses
      | oddity                             |
      | a port of 5000 digits              |
      | a port out of range                |
      | port 0                             |
      | a negative port                    |
      | no port                            |
      | a port of another script           |
      | an address that is a name          |

    Examples: nesting
      | oddity                             |
      | deep nesting                       |
      | deep nesting of a field            |
      | deep nesting of an unknown field   |
      | deep nesting of objects            |
      | deep nesting of a key              |

    Examples: numbers
      | oddity                             |
      | a capacity of 5000 digits          |
      | a capacity of 1e400                |
      | a capacity that is not a number    |
      | a start time of 5000 digits        |
      | a capacity of 400 digits           |
      | a capacity beyond 64 bits          |
      | a negative capacity                |
      | a start time beyond 64 bits        |

    Examples: fields and bytes
      | oddity                             |
      | an unknown state                   |
      | missing fields                     |
      | fields of another type             |
      | a lone surrogate                   |
      | text that is not UTF-8             |
      | bytes that are not JSON            |
      | 262144 bytes that are not JSON     |
      | a key that is cut off              |

    Examples: keys that no request can name
      | oddity                             |
      | an empty key                       |
      | a key that is not UTF-8            |
      | a key with a line break            |
      | a key of 255 bytes beyond Latin-1  |

  Scenario Outline: A page of the directory with an unreadable key lists the other upstreams
    # Guards against a host that reads none of a list because of one of its keys.
    Then a page of the directory with a key of <key> lists the other upstreams

    Examples:
      | key              |
      | bytes            |
      | a lone surrogate |
      | a number         |

  Scenario: A record of the log that is cut off is read again
    # Guards against an entry that is dropped because its response ended within it.
    Then a read of two records of which the second is cut off ends before that one
    And a read of one record that is cut off gives no usable response

  Scenario: An outcome that isn't known counts as a failed run
    Then a report with an unknown outcome is read as a failed run

  Scenario Outline: A percentage that is not finite makes a report malformed
    Then a report with a percentage of "<text>" is refused as malformed

    Examples:
      | text  |
      | inf   |
      | 1e999 |
      | nan   |

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

  Scenario: A session that fails again and again holds up the other upstreams for a limited time
    # Guards against a leader that serves nothing because of one upstream.
    Given a leader of 2 in-memory upstreams with room for two tasks each
    When every connection to one of them fails with an unexpected error, for longer than lists are awaited
    Then the errors are reported, and a job is answered as succeeded by the other one
