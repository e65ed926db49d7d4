Feature: Upstreams have one owner while hosts leave, die, flap and lose each other
  Jobs are submitted to every daemon throughout. Ownership is read from the events "upstream
  acquired" and "upstream released": except during a pause or a partition, no two daemons own an
  upstream at the same time.

  @known_red
  Scenario: Leaving upstreams, wrong host lists, killed and paused daemons
    Given hosts of 3 daemons under steady load
    When a host list marks an upstream as leaving
    Then the leaving upstream gets no start later than 3 s after the list
    And every job on the hosts was completed
    When the host list is empty, and then names no daemon
    Then every daemon ignores the host lists and no upstream is released
    And every job on the hosts was completed
    When the host of d1 is killed
    Then d2 and d3 own every upstream between them
    When the host of d1 starts again
    Then every upstream of the hosts has one owner
    When the host of d3 is paused 3 times until the others report it silent
    Then every upstream of the hosts has one owner
    And no upstream of the hosts had two owners at the same time
    And the answers of the hosts agree with the start records

  Scenario: A daemon whose heartbeats do not arrive, and a domain that is cut off
    Given hosts of 3 daemons under steady load
    When d2 no longer receives heartbeats of d1, which still receives those of d2
    Then d1 and d2 complete jobs with prefixed keys and single requests
    When the links between the hosts heal
    Then every upstream of the hosts has one owner
    When d3 is cut off from the other hosts and from the platform
    Then d3 completes jobs with prefixed keys and single requests
    And d1 and d2 complete jobs with prefixed keys and single requests
    When the links between the hosts heal
    Then every upstream of the hosts has one owner
    And no upstream of the hosts had two owners at the same time
    And the answers of the hosts agree with the start records
