Feature: Platform stand-in and platform client
  The client may report NotAppended only if the append can't take effect any more. Otherwise a
  claim or a revision would be written twice, or reported as void although it is in force.

  Scenario: Records are read in order with their offsets
    Given a platform stand-in
    When the platform client appends "a b c" to "s"
    Then the platform client reads "a b c" from offset 0 of "s"
    And the platform client reads "c" from offset 2 of "s"
    And the platform counts 3 appends, 3 append bytes and 2 reads of "s"

  Scenario: A waiting read returns as soon as a record is appended
    Given a platform stand-in
    When a platform read waits at offset 0 of "s" and "a" is appended
    Then the platform read that waited returned "a"

  Scenario: Retention by number of records moves the first offset
    Given a platform stand-in with "--retention-records 2"
    When the platform client appends "a b c d" to "s"
    Then the platform client reads "c d" from offset 0 of "s"

  Scenario: Retention by age moves the first offset
    Given a platform stand-in with "--retention-seconds 0.1"
    When the platform client appends "a b" to "s"
    Then the platform stream "s" is eventually empty, from offset 2

  Scenario: A truncated stream reports its first offset
    Given a platform stand-in
    When the platform client appends "a b c" to "s"
    And the platform truncates "s" to offset 1
    Then the platform client reads "b c" from offset 0 of "s"

  Scenario: Appends beyond the rate limit are delayed
    Given a platform stand-in with "--appends-per-second 20"
    Then 11 platform appends in parallel take at least 0.5 s

  Scenario: Appends take the append latency
    Given a platform stand-in with "--append-latency-ms 200"
    Then 1 platform appends in parallel take at least 0.2 s

  # Guards against transferring the whole list each second: 108 KB/s at 1,027 hosts.
  Scenario: An unchanged host list is not sent again
    Given a platform stand-in
    When the platform lists entry host "e1" at "127.0.0.1:4000" as live
    Then a client that reads the platform's host list twice receives its body only once
    And a client that reads it before and after it is replaced by host "e2" gets both lists

  Scenario: Setting the host list replaces the earlier list
    Given a platform stand-in
    When the platform lists entry host "e1" at "127.0.0.1:4000" as live
    And the platform lists entry host "e1" at "127.0.0.1:4000" as leaving
    Then the platform client lists "e1" at "127.0.0.1:4000" as leaving

  Scenario: A refused append has no effect
    Given a platform stand-in
    And the platform fault "refuse"
    Then a platform append of "a" to "s" returns "NotAppended" with detail "503"
    And the platform read of "s" fails with detail "503"
    And the platform host list fails with detail "503"
    When the platform fault "none" is set
    Then the platform client reads "" from offset 0 of "s"

  Scenario: A fault with a count ends after that many requests
    Given a platform stand-in
    And the platform fault "refuse" for 1 request
    Then a platform append of "a" to "s" returns "NotAppended" with detail "503"
    And a platform append of "b" to "s" returns "Ok" with detail "0"

  Scenario: An append to a platform that has stopped has no effect
    Given a platform stand-in
    When the platform stand-in is stopped
    Then a platform append of "a" to "s" returns "NotAppended" with detail "ConnectError"

  Scenario: An append whose response is lost may have taken effect
    Given a platform stand-in
    And the platform fault "lose_answers"
    Then a platform append of "a" to "s" returns "MayBeAppended" with detail "RemoteProtocolError"
    And the platform client reads "a" from offset 0 of "s"

  Scenario: An append that hangs can take effect after the client has timed out
    Given a platform stand-in
    And the platform fault "hang"
    Then a platform append of "a" to "s" returns "MayBeAppended" with detail "no complete response"
    When the platform fault "none" is set
    Then the platform stream "s" eventually holds 1 record

  Scenario: A slow append can take effect after the client has timed out
    Given a platform stand-in
    And the platform fault "slow" with 3000 ms
    Then a platform append of "a" to "s" returns "MayBeAppended" with detail "no complete response"
    When the platform fault "none" is set
    Then the platform stream "s" eventually holds 1 record

  Scenario: A record that is received only in part is not appended
    Given a platform stand-in
    When half of a platform append to "s" is sent and the connection is closed
    Then the platform client reads "" from offset 0 of "s"
    And the platform counts 0 appends, 0 append bytes and 1 reads of "s"

  Scenario Outline: An append is classified by what its response proves
    Then a platform append answered <status> with <body> returns "<result>"

    Examples:
      | status | body                                  | result        |
      | 201    | {"offset": 7}                         | Ok            |
      | 201    | {"offset": -1}                        | MayBeAppended |
      | 201    | {"offset": "7"}                       | MayBeAppended |
      | 201    | no JSON                               | MayBeAppended |
      | 200    | {"offset": 7}                         | MayBeAppended |
      | 503    | {"appended": false}                   | NotAppended   |
      | 503    | {"appended": true}                    | MayBeAppended |
      | 503    | {"appended": 0}                       | MayBeAppended |
      | 503    | no JSON                               | MayBeAppended |
      | 500    | {"appended": false}                   | MayBeAppended |
      | 302    | {"appended": false}                   | MayBeAppended |

  Scenario Outline: A page with a gap or a wrong offset is an error
    Then a platform read from 5 answered 200 with <body> fails with detail "<fault>"

    Examples:
      | body                                                                                              | fault           |
      | {"records": [{"offset": 6, "payload": "YQ=="}], "first_offset": 0, "next_offset": 7, "end_offset": 9} | follow each other |
      | {"records": [{"offset": 4, "payload": "YQ=="}], "first_offset": 0, "next_offset": 5, "end_offset": 9} | follow each other |
      | {"records": [{"offset": 5, "payload": "YQ=="}], "first_offset": 0, "next_offset": 7, "end_offset": 9} | next_offset     |
      | {"records": [{"offset": 5, "payload": "YQ=="}], "first_offset": 0, "next_offset": 6, "end_offset": 5} | end_offset      |
      | {"records": [{"offset": 5, "payload": "?"}], "first_offset": 0, "next_offset": 6, "end_offset": 6}    | malformed       |
      | {"records": []}                                                                                   | malformed       |

  Scenario Outline: An invalid host list is an error
    Then a platform host list answered 200 with <body> fails with detail "<fault>"

    Examples:
      | body                                                                                                           | fault     |
      | {"hosts": [{"name": "e", "role": "entry", "state": "live", "failure_domain": "d", "address": "a.example:80"}]} | ip:port   |
      | {"hosts": [{"name": "e", "role": "entry", "state": "live", "failure_domain": "d", "address": "10.0.0.1:0"}]}   | ip:port   |
      | {"hosts": [{"name": "e", "role": "cook", "state": "live", "failure_domain": "d", "address": "10.0.0.1:80"}]}   | malformed |

  Scenario: A response larger than the limit is an error
    Then a platform client limited to 1000 bytes fails on a response of 100000 bytes

  Scenario: No response makes the platform client raise an exception
    Then 150 arbitrary platform responses are each returned as an error
