Feature: What the soak test relies on finds and causes what it should
  The check over the hosts' logs, the platform's choice of entry hosts, and the links between hosts.

  Scenario Outline: Two leaders that had placed tasks of one job at one time are found
    # Guards against a soak that misses a job which two leaders start, as in issue 38.
    When the log lines of two leaders on one job are checked that hold <first> and <second>
    Then the check finds <found> pairs of placements

    Examples:
      | first                              | second                              | found |
      | received 0, placed 1, ended 5      | received 3, placed 4, ended 6       | 1     |
      | received 0, placed 1, ended 5      | received 3, ended 6                 | 0     |
      | received 0, placed 1, ended 3      | received 2, placed 4, ended 6       | 0     |
      | received 0, placed 1, placed 6     | received 3, placed 4, ended 5       | 1     |
      | received 0, placed 5, ended 8      | received 1, placed 2, ended 6       | 1     |
      | received 0, ended 1                | received 2, placed 3, ended 4       | 0     |
      | received 0, placed 1, received 2, ended 5 | received 3, placed 4, ended 6 | 1    |

  Scenario Outline: Callers are sent to the entry hosts that the platform would choose
    # Guards against a soak whose callers never reach the leader of another failure domain.
    When a caller of failure domain z2 is sent to one of 9 hosts of which <ready> are ready
    Then its host is one of <candidates>

    Examples:
      | ready                  | candidates    |
      | h1 h2 h3 h4 h5 h6      | h2 h5         |
      | h1 h2 h3               | h2 h5 h8      |
      | h1 h3 h6 h9 h4         | h3 h6 h9      |
      | h1 h4                  | h1 h4         |
      | none                   | h2 h5 h8      |

  Scenario: Requests that were held back reach the leader although their sender has ended
    # Guards against a soak whose held requests are lost with their sender.
    Given hosts on a site that reach each other through links
    When a job is sent to a host that is killed while its requests to the leader are held back
    Then the leader receives what was sent only after the requests are released
