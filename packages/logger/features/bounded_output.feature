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

  Scenario: Long values don't make the lines that wait large
    Given a log whose lines are counted as they are written
    When 400 events with a value of 16 KB are logged
    Then each line has less than 9000 characters and a start of its value
    And at most 100000 characters waited for a write

  Scenario: A shortened value says how long it was, and ends in a whole line
    Given a log whose lines are counted as they are written
    When 1 events with a value of 16 KB are logged
    Then the line parses, and its value says that it had 16384 characters
