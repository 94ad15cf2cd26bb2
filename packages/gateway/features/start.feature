Feature: A start goes on until the entry serves
  What a start waits for is in the log. Only an error that doesn't pass ends the process.

  Scenario: A second error of an open listener doesn't end the process
    Given an open readiness listener
    When accepting a connection fails twice
    Then each failure is in the log, and the listener answers 200
