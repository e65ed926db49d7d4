Feature: Hostile and damaged input
  Whatever arrives on the callers' port or in the tables stream, the daemon keeps running, answers
  with the reason for each refusal, and keeps the tables in force.

  Scenario: Hostile requests are answered with the reason for the refusal
    Given a daemon under hostile input
    When hostile raw requests are sent to the callers' port
    Then the daemon under hostile input still answers, keeps its tables and logged no internal error

  Scenario: Known hostile requests get specific answers
    Given a daemon under hostile input
    Then each known hostile request is refused as stated
      | request                     | status | problem        | detail                        |
      | body above the limit        | 413    | body-too-large | 4194304 bytes                 |
      | headers above the limit     | 431    | malformed      | 16384 bytes                   |
      | many headers in one segment | 400    | malformed      | 16384 bytes                   |
      | too many tasks              | 413    | too-many-tasks | at most 300                   |
      | long key                    | 400    | key-too-long   | at most 200                   |
      | long key in a path          | 400    | key-too-long   | at most 200                   |
      | no key                      | 400    | key-missing    | Idempotency-Key               |
      | key that is not ASCII       | 400    | malformed      | Idempotency-Key may hold      |
      | team that is not ASCII      | 400    | malformed      | Fireflybridge-Team may hold   |
      | long team                   | 400    | malformed      | 1 to 64 characters            |
      | long deadline header        | 400    | malformed      | Fireflybridge-Deadline-Ms     |
      | body that is not UTF-8      | 400    | malformed      | job body                      |
      | body that is not JSON       | 400    | malformed      | job body                      |
      | deep nesting                | 400    | malformed      | job body                      |
      | deep nesting of a field     | 400    | malformed      | job body                      |
      | lone surrogate              | 400    | malformed      | job body                      |
      | wrong type                  | 400    | malformed      | $.tasks                       |
      | unknown field               | 400    | malformed      | unknown field `surprise`      |
      | no tasks                    | 400    | malformed      | no tasks                      |
      | huge deadline               | 400    | malformed      | deadline_ms must be 1 to      |
      | unknown method              | 404    | not-found      | no BREW /v1/jobs              |
      | broken request line         | 400    | malformed      | not valid HTTP/1.1            |
      | two lengths                 | 400    | malformed      | not valid HTTP/1.1            |
      | negative length             | 400    | malformed      | not valid HTTP/1.1            |
      | WebSocket                   | 404    | not-found      | no GET /x                     |
      | HTTP/2 by upgrade           | 404    | not-found      | no GET /x                     |
      | HTTP/2 by preface           | 404    | not-found      | no PRI *                      |
      | unknown transfer encoding   | 501    | malformed      | not valid HTTP/1.1            |

  Scenario: Operators' endpoints are absent from the callers' port
    Given a daemon under hostile input
    Then "/metrics", "/health/live", "/health/ready" and "/v1/status" are not on the callers' port

  Scenario: Keys with any visible character can be fetched at the returned location
    Given a daemon under hostile input
    When unusual but allowed keys are submitted with respond-async
    Then each unusual key is answered at its location

  Scenario: Slow clients are disconnected
    Given a daemon under hostile input
    Then hostile callers that send nothing, send slowly or read nothing are disconnected
    And the daemon under hostile input still answers, keeps its tables and logged no internal error

  Scenario: Damaged records leave the tables in force
    Given a daemon under hostile input
    When damaged records are appended to the hostile tables stream
    Then the daemon under hostile input still answers, keeps its tables and logged no internal error
    And the damaged records are counted, and the next revision comes into force
