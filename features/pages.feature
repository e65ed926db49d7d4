Feature: Pages that describe the system match it
  Operators rely on the pages in an incident, so a page fails here if it omits an event, a metric, a
  setting or a problem type, or lists one that was removed.

  Scenario: The reference pages match the code in both directions
    Then the events page lists each event with its number, level, message and fields
    And the metrics page lists each metric with its kind and labels
    And the settings page lists each setting with its variable and default
    And the problems page lists each problem type with its status
    And the settings page lists each start-up check that the code contains
    And every event of the page is logged somewhere in the code, with exactly its fields

  Scenario: The examples of the page for callers are answered as it states
    Given a deployment for the examples of pages
    Then each example of the API page is answered as the page states

  Scenario: Links between pages point to existing files
    Then each link of a page points to an existing file

  Scenario: A job can be cancelled at any daemon, as the page for callers states
    Given a deployment for the examples of pages
    When a job of 60 slow tasks that runs on the first daemon of the pages is cancelled at the second
    Then the cancelled job of the pages ends with tasks that never started
