Feature: Starts and the age of the directory's entries

  Scenario: A new leader starts nothing by entries that it has read before its term
    # Guards against starts on upstreams that have drained for so long that they may leave (review/5).
    Given a host that has read the directory of 2 upstreams and doesn't lead
    When one of them drains, and 2.1 s later the host begins to lead while its next read is held back
    Then its upstreams have replied, but nothing is started before that read returns
    And the job runs on the other upstream then

  Scenario Outline: A host that the store doesn't answer serves with the upstreams that it knows
    # Guards against a failure domain that is cut off and waits for a read of the directory.
    Given a host that has read the directory of 2 upstreams and doesn't lead
    When 2.1 s later the host begins to lead while <event>
    Then its job is started within 0.5 s

    Examples:
      | event                                                          |
      | its next read fails                                            |
      | its next read is held back and its claim has got no answer     |

  Scenario: A leader whose read hangs starts nothing once its entries are too old
    # Guards against starts on upstreams that may have left while the store answers slowly.
    Given a host that has read the directory of 2 upstreams and leads
    When the next read is held back for longer than an upstream has to stay, and a job comes then
    Then nothing is started before that read returns

  Scenario: A start isn't sent if the entry by which it was placed has become too old
    # Guards against a path to a start that is checked only when its task is placed.
    Given a host that has read the directory of 2 upstreams and leads
    When the entries become too old between the placement of a job and its start
    Then nothing is started before the next read returns
