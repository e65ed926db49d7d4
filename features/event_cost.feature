Feature: The cost of an event doesn't depend on how many jobs wait (issue 41)
  Each event is measured by the calls of functions that it takes, which are the same on every machine.

  Scenario Outline: <event> costs a leader the same with 100, 400 and 1,600 waiting jobs
    # Guards against trouble whose handling takes longer the more jobs wait, and so keeps it going.
    Given leaders of 20 <room> upstreams with 100, 400 and 1600 waiting jobs beside 4 leaders <that>
    When <event> is measured at each of them
    Then none costs over 1.5 times as much as the one with 100 waiting jobs

    Examples:
      | event                      | room | that                |
      | a received job             | full | that have replied   |
      | a received job             | full | that have not       |
      | freed capacity             | full | that have replied   |
      | freed capacity             | full | that have not       |
      | a list of questions        | full | that have not       |
      | a periodic review          | full | that have replied   |
      | a periodic review          | full | that have not       |
      | a received job             | idle | that have not       |
      | freed capacity             | idle | that have not       |
      | a periodic review          | idle | that have not       |
