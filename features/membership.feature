Feature: Membership and ownership
  Each daemon decides alone which daemons are live and what it owns. A wrong decision either leaves
  an upstream without an owner or lets two daemons use its slots at the same time.

  Scenario Outline: A list is ignored only when it contradicts the received heartbeats
    Given a membership that receives heartbeats of "<live>"
    When the membership gets a list of "<listed>"
    Then the membership answers the list with "<verdict>"

    Examples:
      | live    | listed  | verdict             |
      |         |         | Applied             |
      | b       |         | IgnoredEmpty(1)     |
      | b,c,d,e | b,c     | Applied             |
      | b,c,d,e | b       | IgnoredDrop(c,d,e)  |
      | b,c,d   | b,c,x,y | Applied             |
      | b       | x       | IgnoredDrop(b)      |

  Scenario: An ignored list is accepted once heartbeats agree with it
    Given a membership that receives heartbeats of "b,c,d"
    When the membership gets a list of "b"
    Then the membership answers the list with "IgnoredDrop(c,d)"
    When 2 s pass in which the membership receives heartbeats of "b"
    And 2 s pass in which the membership receives heartbeats of "b"
    And the membership gets a list of "b"
    Then the membership answers the list with "Applied"
    And the membership links to "b"

  Scenario: A live daemon that a list drops keeps its link
    Given a membership that receives heartbeats of "b,c,d"
    When the membership gets a list of "b,c,d"
    And the membership gets a list of "b,c"
    Then the membership links to "b,c,d"

  Scenario Outline: A daemon that sends no heartbeat for 3 s is lost
    Given a membership that receives heartbeats of "b"
    When <seconds> s pass in which the membership receives heartbeats of ""
    Then the membership view is "<view>"

    Examples:
      | seconds | view |
      | 2.9     | a,b  |
      | 3.0     | a    |

  Scenario Outline: An owner is chosen within the failure domain, else over all
    Then the membership owner of 60 upstreams of "<domain>" among "<members>" is in "<owners>"

    Examples:
      | domain | members             | owners |
      | x      | a@x b@x c@y         | a,b    |
      | y      | a@x b@x c@y         | c      |
      | z      | a@x b@x c@y         | a,b,c  |
      | x      | a@x/draining b@x    | b      |
      | x      | a@x/draining c@y    | c      |
      | x      | a@x/draining        | a      |
      | x      |                     |        |

  Scenario: A leaving upstream is excluded immediately, under its name or its address
    Given a membership alone that owns upstreams "u1,u2,u3"
    When the membership gets a list in which "u1" and the address of "u2" are leaving
    Then the membership uses upstreams "u3" now

  Scenario: An ignored list does not bring a leaving upstream back
    Given a membership alone that owns upstreams "u1,u2"
    And the membership gets a list in which "u1" and the address of "none" are leaving
    When the membership receives a heartbeat of "b" that is "ready"
    And the membership gets an empty list
    Then the membership answers the list with "IgnoredEmpty(1)"
    And no upstream "u1" is used by the membership

  Scenario Outline: A new owner starts when its predecessor cannot start anything any more
    Given a membership "a" that joined daemon "b", which was "<first>", and receives its heartbeats
    When the membership sees that "b" is "<event>"
    Then the membership uses the upstreams of "b" after <delay> s

    Examples:
      | first    | event    | delay |
      | ready    | silent   | 3.0   |
      | ready    | draining | 0.0   |
      | starting | draining | 0.0   |

  Scenario Outline: A daemon that joins waits for owners that were there before
    Given a membership "a" that joined daemon "b", which was "<first>", and receives its heartbeats
    Then the membership uses its own upstreams after <delay> s

    Examples:
      | first    | delay |
      | ready    | 3.0   |
      | starting | 0.0   |

  Scenario: Daemons that start together own each resource once and without a delay
    Given 5 memberships that start together and 300 upstreams
    When the memberships exchange heartbeats
    Then each resource is used by exactly one membership

  Scenario: A lost daemon's resources move to one daemon each, and only those
    Given 5 memberships that start together and 300 upstreams
    And the memberships exchange heartbeats
    When membership 2 falls silent and 3 s pass
    Then each resource is used by exactly one membership
    And only resources of membership 2 moved

  Scenario: A daemon that returns gets its resources back without an overlap
    Given 5 memberships that start together and 300 upstreams
    And the memberships exchange heartbeats
    And membership 2 falls silent and 3 s pass
    When membership 2 restarts and the memberships exchange heartbeats
    Then no resource is used by two memberships
    When 3 s pass in which the memberships exchange heartbeats
    Then each resource is used by exactly one membership

  Scenario: A paused daemon uses nothing until the others have released it
    Given 5 memberships that start together and 300 upstreams
    And the memberships exchange heartbeats
    When membership 2 is paused for 4 s
    Then membership 2 uses nothing
    When membership 2 resumes and the memberships exchange heartbeats
    Then no resource is used by two memberships
    When 3 s pass in which the memberships exchange heartbeats
    Then each resource is used by exactly one membership

  Scenario: A paused daemon that receives heartbeats before it sends any does not use what they took over
    Given 5 memberships that start together and 300 upstreams
    And the memberships exchange heartbeats
    When membership 2 is paused for 4 s
    And membership 2 resumes and receives heartbeats of the others, which receive none of it yet
    Then no resource is used by two memberships

  Scenario: A daemon that is listed as leaving has 3 s to read the list
    Given a membership "a" that joined daemon "b", which was "ready", and receives its heartbeats
    When the membership sees that "b" is "listed as leaving"
    Then the membership uses the upstreams of "b" after 3.0 s

  Scenario: A daemon that restarts within 3 s is known by its new incarnation
    Given a membership that receives heartbeats of "b"
    When the membership receives a heartbeat of incarnation "b-2" of "b"
    Then the membership knows that incarnation "b-2" of "b" is live

  Scenario: Members that flap at random never leave two owners among daemons that exchange heartbeats
    Then the membership invariants hold over 60 random histories of 4 daemons

  Scenario: Equal views give one owner, and a member that goes moves only its own resources
    Then the membership owners of random views are unique and move only when their member goes

  Scenario: Every claim shard has one live registrar
    Given 5 memberships that start together and 0 upstreams
    When the memberships exchange heartbeats
    Then the memberships agree on the registrar of all 16 shards
