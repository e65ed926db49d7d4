Feature: Links between daemons
  A message that is handled twice starts tasks twice. One that is lost without a report leaves a
  caller waiting. One that was sent to the previous incarnation of a restarted peer must
  not reach the new one, which has no record of it.

  Scenario: Heartbeats pass in both directions over one link
    Given peer endpoints "a" and "b"
    When peer "a" connects to "b"
    Then peers "a" and "b" receive 3 heartbeats of each other

  Scenario: A change that peers act on is announced before the next heartbeat is due
    Given peer endpoints "a" and "b" whose idle link sends no heartbeats
    When peer "a" connects to "b"
    And peer "a" announces a change 3 times and each is received by "b"
    Then peer "b" has received 4 heartbeats of "a"

  Scenario Outline: A message is handled once while faults act on the link
    Given peer endpoints "a" and "b"
    When peer "a" connects to "b" through the proxy
    And peer "a" sends 200 messages to "b" while the link has the fault "<kind>" "<direction>" "<more>"
    Then peer "b" handles each message of "a" once, in order, or "a" reports it as unsent

    Examples:
      | kind        | direction | more             |
      | drop        | forward   |                  |
      | drop        | backward  |                  |
      | hold        | forward   |                  |
      | hold        | backward  |                  |
      | delay       | both      | delay_ms=150     |
      | truncate    | forward   | after_bytes=300  |
      | truncate    | backward  | after_bytes=30   |
      | lose_answer | both      | count=3          |

  Scenario: Messages are handled once while connections are reset
    Given peer endpoints "a" and "b"
    When peer "a" connects to "b" through the proxy
    And peer "a" sends 200 messages to "b" while the link is reset 10 times
    Then peer "b" handles each message of "a" once, in order, or "a" reports it as unsent

  Scenario: Messages both ways are handled once while the peer is paused
    Given peer endpoints "a" and "b"
    When peer "a" connects to "b"
    And peer "b" connects to "a"
    And peer "a" sends 50 messages to "b" and "b" 50 to "a" while "b" is paused
    Then peer "b" handles each message of "a" once, in order, or "a" reports it as unsent
    And peer "a" handles each message of "b" once, in order, or "b" reports it as unsent

  Scenario: Messages to a peer that acknowledges nothing are reported as unsent and never handled
    Given peer endpoints "a" and "b"
    When peer "a" connects to "b" through the proxy
    And the peer link drops all data until "a" reports messages as unsent
    Then peer "a" refuses a message to "b" as "PeerStalled"
    When the peer link recovers
    Then peer "b" handles each message of "a" once, in order, or "a" reports it as unsent

  Scenario: A restarted peer gets no message that was sent to its previous incarnation
    Given peer endpoints "a" and "b" whose idle link sends no heartbeats
    When peer "a" connects to "b" through the proxy
    And peer "b" is killed with messages in flight and starts again
    Then peer "a" reports the first incarnation of "b" as lost, with those messages
    And peer "b" handles only messages that "a" sends after that

  Scenario: Disconnecting reports what was not acknowledged
    Given peer endpoints "a" and "b" whose idle link sends no heartbeats
    When peer "a" connects to "b" through the proxy
    And the peer link drops an exchange and "a" disconnects from "b"
    Then peer "a" reports the first incarnation of "b" as lost, with those messages

  Scenario: A link that is opened again in the same process starts a new session
    Given peer endpoints "a" and "b"
    When peer "a" connects to "b"
    And peer "a" sends 10 messages to "b" and they are handled
    And peer "a" disconnects from "b"
    And peer "a" connects to "b"
    And peer "a" sends 10 messages to "b" and they are handled
    Then peer "b" handles each message of "a" once, in order, or "a" reports it as unsent

  Scenario Outline: A peer without the right key or name is refused
    Given a peer endpoint "a" with key "the shared key of daemons"
    And a peer endpoint "<name>" with key "<key>"
    When peer "a" connects to "<name>" under the name "b"
    Then peer "a" reports its messages to "b" as unsent and the fault "peers.verify-frame"
    And peer "<name>" reports "peers.verify-frame" and has handled nothing

    Examples:
      | name | key                       |
      | b    | another key of 24 letters |
      | c    | the shared key of daemons |

  Scenario Outline: Settings without protection are refused
    Then peer settings with key "<key>" that listen on "<listen>" fail with "<message>"

    Examples:
      | key   | listen      | message                     |
      |       | 10.0.0.1:80 | without a key               |
      | short | 127.0.0.1:0 | fewer than 16 bytes         |

  Scenario: An address that is in use is named in the error
    Given peer endpoints "a" and "b"
    Then a peer endpoint that listens on the address of "a" fails with "peer links cannot listen on"

  Scenario: Recorded frames are refused when they are sent again, changed or sent elsewhere
    Given peer endpoints "a" and "b"
    And a peer endpoint "c" with key "the shared key of daemons"
    When peer "a" connects to "b" through a recorder and sends 20 messages
    And the recorded peer frames are sent again to "b"
    And each recorded peer frame is sent to "b" with one bit changed
    And the recorded peer frames are sent to "c"
    Then peer "b" has handled 20 messages of "a"
    And peer "c" reports "peers.verify-frame" and has handled nothing

  Scenario: Frames of another version and random frames are reported and change nothing
    Given peer endpoints "a" and "b"
    When peer "a" connects to "b"
    And peer "b" gets a frame of protocol version 2
    And peer "b" gets 200 random frames
    And peer "a" sends 10 messages to "b" and they are handled
    Then peer "b" reports "protocol version 2, this daemon speaks 1"
    And peer "b" handles each message of "a" once, in order, or "a" reports it as unsent

  Scenario: An outbox is bounded in messages and in bytes
    Given peer endpoints "a" and "b"
    When peer "a" connects to "b"
    Then peer "a" refuses 2000 of 12000 messages of 10 bytes to "b" as "OutboxFull"
    And peer "a" refuses 4 of 20 messages of 1000000 bytes to "b" as "OutboxFull"
    And peer "a" refuses 1 of 1 messages of 2000000 bytes to "b" as "MessageTooLarge"
    And peer "a" refuses 1 of 1 messages of 10 bytes to "x" as "UnknownPeer"
    And peer "b" handles each message of "a" once, in order, or "a" reports it as unsent

  Scenario: Every message survives its encoding, and damaged batches are errors
    Then 200 random peer batches decode to what was encoded
    And 200 damaged peer batches decode to a batch or an error that names the peer

  Scenario: Remaining times are reduced by the wait at the sender
    Then a peer message that waited 2.5 s has 2.5 s less remaining time

  Scenario: Sessions are bounded, and new sessions do not evict one that is in use
    Then 2000 peer sessions keep at most 1024, and one that is in use stays
