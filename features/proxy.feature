Feature: Fault-injecting proxy
  Guards against faults that have no effect or affect more than they should, with which other
  features would pass or fail for the wrong reason.

  Background:
    Given a proxied pair of sockets

  Scenario: All bytes are delivered unchanged in both directions
    Then 20 proxied connections each echo 3000000 bytes

  Scenario: A half-closed connection stays usable in the other direction
    When the proxied client shuts down its sending direction
    Then the proxied server receives the end of stream
    And "answer" passes the proxy backward

  Scenario: Bytes are delayed without waiting for the delivery of earlier ones
    When the proxy fault "delay" acts "forward" with 60000 ms
    And the proxied client sends "one" and the proxy counts 1 "delay"
    And the proxied client sends "two" and the proxy counts 2 "delay"
    Then "answer" passes the proxy backward
    And the proxied server has received nothing

  Scenario: Delayed bytes arrive in order after the delay
    When the proxy fault "delay" acts "both" with 200 ms
    Then "question" takes at least 0.2 s through the proxy forward
    And "answer" takes at least 0.2 s through the proxy backward

  Scenario Outline: A one-way partition drops the bytes of one direction only
    When the proxy fault "drop" acts "<dropped>"
    And "lost" is sent through the proxy <dropped> and the proxy counts 1 "drop"
    Then "kept" passes the proxy <other>
    And the proxied <receiver> has received nothing

    Examples:
      | dropped  | other    | receiver |
      | forward  | backward | server   |
      | backward | forward  | client   |

  Scenario: A partition drops the end of stream of a connection
    When the proxy fault "drop" acts "both"
    And the proxied client closes and the proxy counts 1 "drop"
    Then the proxied server has received nothing

  Scenario: A connection that lost bytes is reset when the partition ends
    When the proxy fault "drop" acts "both"
    And "lost" is sent through the proxy forward and the proxy counts 1 "drop"
    And the proxy faults are cleared
    Then the proxied client receives a reset
    And the proxied server receives a reset

  Scenario: A connection that lost nothing survives a partition
    When the proxy fault "drop" acts "both"
    And the proxy faults are cleared
    Then "question" passes the proxy forward
    And "answer" passes the proxy backward

  Scenario: Held bytes arrive when the fault ends
    When the proxy fault "hold" acts "forward"
    And "late" is sent through the proxy forward and the proxy counts 1 "hold"
    Then the proxied server has received nothing
    When the proxy faults are cleared
    Then the proxied server receives "late"

  Scenario: New connections are refused while open ones stay usable
    When the proxy fault "refuse" acts "both"
    Then a proxied connect is refused
    And "question" passes the proxy forward
    When the proxy faults are cleared
    Then a proxied connect succeeds

  Scenario: Open connections are reset and new ones succeed
    When the proxy resets 1 connection
    Then the proxied client receives a reset
    And the proxied server receives a reset
    And a proxied connect succeeds

  Scenario Outline: A connection is closed after a number of bytes of one direction
    When "before" passes through the proxy <direction> first
    And the proxy fault "truncate" acts "<direction>" after 4 bytes
    And "answers" is sent through the proxy <direction> and the proxy counts 1 "truncate"
    Then the proxied <receiver> receives "answ" and the end of stream
    And the proxied <sender> receives the end of stream or a reset

    Examples:
      | direction | receiver | sender |
      | forward   | server   | client |
      | backward  | client   | server |

  Scenario: An answer is lost after its request was delivered
    When the proxy fault "lose_answer" acts "both"
    Then "request" passes the proxy forward
    When "answer" is sent through the proxy backward and the proxy counts 1 "lose_answer"
    Then the proxied client receives the end of stream

  Scenario: A receiver that resets during a partition does not end the proxy
    When the proxy fault "drop" acts "backward"
    And the proxied server resets and the proxy counts 1 "drop"
    And "lost" is sent through the proxy forward and the proxy counts 1 "receiver_lost"
    And the proxied client shuts down its sending direction
    Then a proxied connect succeeds
    And the proxy ends with exit code 0

  Scenario: A partition that ends after its receiver reset does not end the proxy
    When the proxy fault "drop" acts "backward"
    And the proxied server resets and the proxy counts 1 "drop"
    And "lost" is sent through the proxy forward and the proxy counts 1 "receiver_lost"
    And the proxy faults are cleared
    Then the proxied client receives a reset
    And a proxied connect succeeds
    And the proxy ends with exit code 0

  Scenario: An unreachable target leads to a reset
    When the proxied server stops listening
    Then a proxied connect ends in a reset

  Scenario: Links are added and retargeted while the proxy runs
    When a second proxied server is reached over an added link
    And the first proxy link is retargeted to the second server
    Then a proxied connect reaches the second server

  Scenario: A lost answer leaves one append in doubt
    Given a platform stand-in behind the proxy
    When the proxy fault "lose_answer" acts once on the platform link
    Then a proxied platform append ends "MayBeAppended" naming "RemoteProtocolError"
    And a proxied platform append ends "Ok" naming "1"

  Scenario Outline: Faults between client and platform decide whether an append may have taken effect
    Given a platform stand-in behind the proxy
    When the proxy fault "<kind>" acts "<direction>" on the platform link after <bytes> bytes
    Then a proxied platform append ends "<end>" naming "<detail>"
    And the platform behind the proxy holds <records> records
    And a proxied platform read fails naming "<read>"

    Examples:
      | kind     | direction | bytes | end           | detail               | records | read                 |
      | refuse   | both      | 0     | NotAppended   | ConnectError         | 0       | ConnectError         |
      | truncate | forward   | 20    | MayBeAppended | Protocol.*\|Read.*\|Write.* | 0       | Protocol.*\|Read.* |
      | truncate | backward  | 20    | MayBeAppended | RemoteProtocolError  | 1       | RemoteProtocolError  |
      | drop     | forward   | 0     | MayBeAppended | no complete response | 0       | no complete response |
      | drop     | backward  | 0     | MayBeAppended | no complete response | 1       | no complete response |
