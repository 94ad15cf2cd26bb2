Feature: A log that never blocks
  Scenario: A reader that stops costs lines, not time
    Given an output whose reader stops
    When 30000 lines are written
    Then writing returned and lines were dropped and counted
    And once the reader goes on, a note tells how many

  Scenario: Partial writes keep every byte in order
    Given an output that takes 7 bytes at a time
    When 100 lines are written
    Then all 100 lines arrive in order
