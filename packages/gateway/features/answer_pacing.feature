Feature: Reading answers in turns
  Bytes of an answer may take long to parse, in chunks of one byte for example. What is
  read of answers in one turn of the event loop is bounded, so that the others don't wait.

  Scenario: A small answer doesn't wait until long ones in chunks of one byte are read
    Given a target that answers in chunks of one byte
    When 400 answers of 10000 bytes arrive, and small ones are asked for meanwhile
    Then all answers are complete
    And no small answer took more than a quarter of the time for all

  Scenario: Answers that wait to be read are complete although their connections are reset
    Given a target that answers in chunks of one byte, and resets the connection after it
    When 100 answers of 6000 bytes arrive
    Then all answers are complete
