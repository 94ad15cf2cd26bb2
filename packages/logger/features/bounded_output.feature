Feature: Bounded log output
  Scenario: A stopped reader causes dropped lines instead of blocking
    Given an output whose reader stops
    When 30000 lines are written
    Then no write blocked, and lines were dropped and counted
    And once the reader resumes, an event reports the number of dropped lines

  Scenario: Partial writes keep every byte in order
    Given an output that accepts 7 bytes at a time
    When 100 lines are written
    Then all 100 lines arrive in order
