Feature: Submissions that arrive late
  An entry host's submission is held back on its link to the leader, and delivered after the host has
  given it up or has ended, while another leader runs the job for the caller who still waits.

  Scenario Outline: A late submission starts nothing beside the runs of the next leader
    # Guards against a leader that keeps other failure domains and takes an abandoned submission for new.
    Given hosts on a site that reach each other through links, with tasks of 400 ms
    When a submission arrives at the former leader while the next one runs the job <sent by>
    Then no two runs of a task of the job were under way at one time
    And no two leaders had placed tasks of the job at one time

    Examples:
      | sent by                                                     |
      | that its caller has sent again after its entry host's end   |
      | that its entry host has sent again to the next leader       |
