Feature: Route and pool tables
  Operators configure the system by editing two tables. Published tables are in force on every
  daemon within seconds, so each fault must be found before, with its location and a fix.

  Scenario Outline: One fault in valid tables is reported, and no other
    Given valid tables texts
    When the tables text "<valid>" is replaced by "<faulty>"
    Then the only tables fault is <fault> at "<place>"

    Examples: fields
      | valid                      | faulty                                   | fault        | place                                          |
      | timeout_ms = 1500          | timeout_ms = 1500 # \n timout_ms = 1     | UnknownField | routes.toml: routes[1].timout_ms               |
      | slots = 8                  | slots = 8 \n weight = 2                  | UnknownField | pools.toml: pools[1].upstreams[1].weight       |
      | guards = true              | guards = true \n owner = "x"             | UnknownField | pools.toml: pools[1].owner                     |
      | max_share = 0.5            | max_share = 0.5 \n min_share = 0         | UnknownField | pools.toml: pools[1].quotas[1].min_share       |
      | [[routes]]                 | spare = 1 \n [[routes]]                  | UnknownField | routes.toml: spare                             |
      | window_ms = 2000           |                                          | MissingField | routes.toml: routes[1].window_ms               |
      | name = "b"                 |                                          | MissingField | pools.toml: pools[1].upstreams[2].name         |
      | name = "fast"              |                                          | MissingField | pools.toml: pools[1].name                      |
      | team = "desk"              |                                          | MissingField | pools.toml: pools[1].quotas[1].team            |
      | idempotent = true          | idempotent = 1                           | WrongType    | routes.toml: routes[1].idempotent              |
      | slots = 8                  | slots = true                             | WrongType    | pools.toml: pools[1].upstreams[1].slots        |
      | slots = 8                  | slots = 8.5                              | WrongType    | pools.toml: pools[1].upstreams[1].slots        |
      | path = "/check"            | path = ["/check"]                        | WrongType    | routes.toml: routes[1].path                    |
      | team = "desk"              | team = 2026-12-04                        | WrongType    | pools.toml: pools[1].quotas[1].team            |

    Examples: values
      | valid                      | faulty                                   | fault        | place                                          |
      | expected_ms = 120          | expected_ms = -1                         | InvalidValue | routes.toml: routes[1].expected_ms             |
      | window_ms = 2000           | window_ms = 0                            | InvalidValue | routes.toml: routes[1].window_ms               |
      | timeout_ms = 1500          | timeout_ms = 300001                      | InvalidValue | routes.toml: routes[1].timeout_ms              |
      | slots = 8                  | slots = 0                                | InvalidValue | pools.toml: pools[1].upstreams[1].slots        |
      | connections = 64           | connections = 7                          | InvalidValue | pools.toml: pools[1].upstreams[1].connections  |
      | "10.0.0.1:8080"            | "worker-1:8080"                          | InvalidValue | pools.toml: pools[1].upstreams[1].address      |
      | "10.0.0.1:8080"            | "10.0.0.1"                               | InvalidValue | pools.toml: pools[1].upstreams[1].address      |
      | "10.0.0.1:8080"            | "10.0.0.1:0"                             | InvalidValue | pools.toml: pools[1].upstreams[1].address      |
      | "10.0.0.1:8080"            | "10.0.0.1:65536"                         | InvalidValue | pools.toml: pools[1].upstreams[1].address      |
      | "10.0.0.1:8080"            | "fd00::1:8080"                           | InvalidValue | pools.toml: pools[1].upstreams[1].address      |
      | "10.0.0.1:8080"            | "10.0.0.256:8080"                        | InvalidValue | pools.toml: pools[1].upstreams[1].address      |
      | max_share = 0.5            | max_share = 1.01                         | InvalidValue | pools.toml: pools[1].quotas[1].max_share       |
      | max_share = 0.5            | max_share = -0.1                         | InvalidValue | pools.toml: pools[1].quotas[1].max_share       |
      | max_share = 0.5            | max_share = nan                          | InvalidValue | pools.toml: pools[1].quotas[1].max_share       |
      | weight = 2.0               | weight = 0                               | InvalidValue | pools.toml: pools[1].quotas[1].weight          |
      | weight = 2.0               | weight = inf                             | InvalidValue | pools.toml: pools[1].quotas[1].weight          |
      | path = "/check"            | path = "check"                           | InvalidValue | routes.toml: routes[1].path                    |
      | path = "/check"            | path = "/a b"                            | InvalidValue | routes.toml: routes[1].path                    |
      | path = "/check"            | path = "/a\\r\\nHost: b"                 | InvalidValue | routes.toml: routes[1].path                    |
      | team = "desk"              | team = ""                                | InvalidValue | pools.toml: pools[1].quotas[1].team            |

    Examples: relations
      | valid                      | faulty                                   | fault         | place                                         |
      | pool = "fast"              | pool = "quick"                           | MissingPool   | routes.toml: routes[1].pool                   |
      | name = "receipt"           | name = "check"                           | DuplicateName | routes.toml: routes[2].name                   |
      | name = "b"                 | name = "a"                               | DuplicateName | pools.toml: pools[1].upstreams[2].name        |
      | "10.0.0.2:8080"            | "10.0.0.1:8080"                          | DuplicateName | pools.toml: pools[1].upstreams[2].address     |
      | team = "accounts"          | team = "desk"                            | DuplicateName | pools.toml: pools[1].quotas[2].team           |
      | # more pools               | [[pools]] \n name = "slow"               | EmptyPool     | pools.toml: pools[2]                          |

    Examples: syntax
      | valid                      | faulty                                   | fault         | place                                         |
      | slots = 8                  | slots =                                  | InvalidSyntax | pools.toml:7                                  |

  Scenario: All faults are reported at once
    Given valid tables texts
    When the tables text "slots = 8" is replaced by "slots = 0"
    And the tables text "10.0.0.2:8080" is replaced by "b"
    And the tables text "pool = "fast"" is replaced by "pool = "quick""
    And the tables text "window_ms = 2000" is replaced by "window = 2000"
    Then the tables faults are InvalidValue, InvalidValue, MissingField, MissingPool, UnknownField

  Scenario Outline: Tables up to the limit are accepted and one more entry is refused
    Given tables texts with <routes> routes, <upstreams> upstreams and <quotas> quotas in a pool
    Then the tables texts are <verdict>

    Examples:
      | routes | upstreams | quotas | verdict                 |
      | 1000   | 1000      | 100    | valid                   |
      | 1001   | 1000      | 100    | refused by LimitExceeded |
      | 1000   | 1001      | 100    | refused by LimitExceeded |
      | 1000   | 1000      | 101    | refused by LimitExceeded |

  Scenario: The total number of quotas is limited, so that whole tables fit into a log record
    Given tables texts with 50 pools of 100 quotas each
    Then the tables texts are valid
    And a tables Keep record stays below 1000 KB
    Given tables texts with 51 pools of 100 quotas each
    Then the tables texts are refused by LimitExceeded

  Scenario: An oversized text is refused without parsing, which would take long
    Given a tables text of 4 MB and one byte
    Then the tables texts are refused by LimitExceeded

  Scenario Outline: A value that is not an array of tables is reported with its location
    Given a tables text "<text>"
    Then the only tables fault is WrongType at "<place>"

    Examples:
      | text         | place                  |
      | routes = 3   | routes.toml: routes    |
      | routes = [1] | routes.toml: routes[1] |

  Scenario: Malformed texts are reported as faults and raise no exception
    Then tables parsing raises nothing for deep nesting, huge numbers and 300 random texts

  Scenario Outline: The example tables of both partners are valid
    Then the tables of <partner> have 24 upstreams in 3 failure domains

    Examples:
      | partner          |
      | colonies-teranga |
      | punarjani        |

  Scenario: Applying computed changes and decoding records restore the original
    A lost change would leave daemons with tables that nobody wrote.
    Then tables changes between 200 random pairs of tables turn the older into the newer one
    And tables records of 200 random revisions are the same after encoding and decoding

  Scenario: Readers agree regardless of how their reads are split
    A reader that differs from the others would serve with other tables indefinitely.
    Then in 300 random tables streams readers with random chunks and repeated reads agree
    And in 300 random truncated tables streams late readers agree from a Keep record on

  Scenario Outline: An unusable record is reported and leaves the tables in force
    Given a tables stream with one revision in force
    When a tables record with <defect> is folded
    Then the tables in force stay and the last tables fault is <fault>

    Examples:
      | defect             | fault            |
      | a newer version    | UnreadableRecord |
      | a flipped byte     | UnreadableRecord |
      | a cut-off end      | UnreadableRecord |
      | an oversized body  | UnreadableRecord |
      | an unknown pool    | InvalidRevision  |
      | zero slots         | InvalidRevision  |
      | a removed pool     | InvalidRevision  |
      | a conflicting Keep | ConflictingKeep  |

  Scenario: 2,500 revisions a day, each of one upstream, take under a thousandth of the read budget
    Given tables texts with 1000 routes, 1000 upstreams and 100 quotas in a pool
    Then 2500 tables revisions a day of one upstream each stay below 13 bytes a second
    And a tables Keep record stays below 65 KB
    # 65 KB are 5 s of the read budget of 13 KB a second.
