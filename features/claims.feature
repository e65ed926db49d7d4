Feature: Claims let each submission start once

  Scenario: The claim rules hold in every interleaving
    When the claim model is searched with 3 faults and 2 submissions under "design"
    Then the claim search finds no violation
    When the claim model is searched with 1 faults and 3 submissions under "design"
    Then the claim search finds no violation

  # Guards against a search that passes whatever the rules are.
  Scenario Outline: The claim search finds a broken rule
    When the claim model is searched with 3 faults and 2 submissions under "<rule>"
    Then the claim search finds "<violation>"

    Examples:
      | rule                  | violation           |
      | ignore-contiguity     | second start        |
      | last-record-wins      | second start        |
      | retry-without-reading | second start        |
      | start-on-late-grant   | start after not run |

  # Guards against a grant that contradicts the order of the stream, whatever the log does.
  Scenario: Two registrars of one shard agree with the stream despite log faults
    Then claims through two registrars on a faulty log agree with the stream

  # Guards against a second start while entries expire at different times in different registrars.
  Scenario: No key starts twice within the start window while claims expire
    Then claim views that expire at different times allow no early second start

  # Guards against an entry that expires while a later record of its key may have been granted.
  Scenario: A later record extends the entry of its key
    Given a claim view with a retention of 600 s
    When claim of "a" is applied at 0 s
    And claim of "b" is applied at 590 s
    Then the claim view at 1189 s names "a"
    And the claim view at 1192 s is empty

  Scenario: Records of a later version stop the shard until they are older than the retention
    Given a claim log with a record of a later version
    When the claim registrar catches up
    Then a claim is refused as unavailable and 1 skipped record is reported
    When the claim clock advances by 602 s
    Then a claim is granted

  Scenario: Records that are not claims are skipped and reported
    Given a claim log with an unreadable record
    When the claim registrar catches up
    Then a claim is granted and 1 skipped record is reported

  Scenario Outline: Records that the log has dropped before they were read
    Given a claim log that has dropped records and keeps them <kept> s
    When the claim registrar catches up
    Then a claim is <decision>

    Examples: The log's retention is trusted only when it is longer than that of claims
      | kept | decision               |
      | 900  | granted                |
      | 600  | refused as unavailable |
      | 0    | refused as unavailable |

  # Guards against granting keys whose records the log lost together with their offsets.
  Scenario: A log whose offsets went back stops the shard
    Given a claim log with 3 batches
    When the claim registrar catches up
    And the claim log loses all records and the answer to the next append
    Then a claim is refused as unavailable

  Scenario: A new registrar starts at the floor of the last batch
    Given a claim log with 3 batches, the last with floor 2
    When the claim registrar catches up
    Then the claim registrar has read from offset 2

  Scenario: A full registrar refuses new claims and keeps the earlier ones
    Given a claim registrar with room for 2 claims
    Then 2 claims are granted, the third is unavailable and the first is still held

  Scenario: Batches stay under the record size
    Given 100 claims at once and records of at most 1000 bytes
    Then every claim is granted and no claim record is larger

  # Guards against one append per claim when the log is slow.
  Scenario: Claims that arrive during an append share the next record
    When 20 claims arrive during an append of the claim log
    Then the claim log holds batches of 1 and 20 claims

  # Guards against exhausting the log's append rate, which all writers share.
  Scenario: Appends of claims keep the minimum interval
    When 4 claims follow each other with a minimum interval of 50 ms
    Then claim appends begin at least 40 ms apart

  Scenario Outline: An executor starts a claimed submission at most once
    Given a claim executor that is <state>
    Then the claim decision "<decision>" makes it "<action>"

    Examples:
      | state             | decision     | action            |
      | pending           | granted      | Start             |
      | pending           | unavailable  | RefuseUnavailable |
      | pending           | conflict     | RefuseConflict    |
      | pending           | held by peer | AskExecutor       |
      | pending           | held by 1    | RefuseMayHaveRun  |
      | pending too long  | granted      | RefuseMayHaveRun  |
      | pending again     | held by 1    | Start             |
      | pending again     | held by 7    | RefuseMayHaveRun  |
      | abandoned         | granted      | Drop              |
      | abandoned         | held by 1    | Drop              |
      | asked by a peer   | held by 1    | Start             |
      | asked by a peer   | held by 7    | RefuseMayHaveRun  |
      | asked too late    | held by 1    | RefuseMayHaveRun  |
      | started           | held by 1    | Join              |
      | started           | granted      | Join              |

  Scenario: Prefixed keys name their daemon and stay expired
    Then a prefixed claim key is parsed and every other key is a chosen one
    And an expired claim prefix stays refused while only live ones are kept in memory

  Scenario: Claims survive lost answers of the platform's log
    Given a platform stand-in
    And the platform fault "lose_answers"
    When 5 claim keys are claimed by two daemons through the platform's log
    Then each claim key is granted to exactly one daemon and both name it
