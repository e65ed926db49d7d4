Feature: Pages that describe the system match it
  An operator without help at night acts on what the pages say, so a page that misses an event, a
  metric, a setting or a problem type, or names one that is gone, fails here.

  Scenario: The reference pages match the code in both directions
    Then the page events lists each event with its number, level, message and fields
    And the page metrics lists each metric with its kind and labels
    And the page settings lists each setting with its variable and default
    And the page problems lists each problem type with its status
    And the page settings lists each start-up check that the code names
    And every event of the page is written somewhere, with exactly its fields

  Scenario: The examples of the page for callers answer as the page says
    Given a deployment for the examples of pages
    Then each example of the page api answers as stated

  Scenario: Links between pages lead somewhere
    Then each link of a page leads to a file

  Scenario: A job is cancelled at any daemon, as the page for callers says
    Given a deployment for the examples of pages
    When a job of 60 slow tasks that the first daemon of the pages executes is cancelled at the second
    Then the cancelled job of the pages ends with tasks that never started
