Feature: The platform over HTTP

  Scenario: A write whose answer can't be read may have been applied
    Given a platform that answers writes with text that is not JSON
    When a row is written
    Then the outcome of the write is uncertain
