Feature: Attempts on one target
  A target may send a late copy of an answer on a connection that is in use again.
  Targets that repeat the header `bamboolane-attempt` show which attempt an answer
  belongs to.

  Scenario Outline: A late copy of an earlier <kind> is not taken for the next answer
    Given a target whose <kind> is followed by a late copy before the next answer
    When two requests are sent to it one after another
    Then the outcome of the second one is unknown
    And both requests reached the target on one connection

    Examples:
      | kind    |
      | answer  |
      | refusal |

  Scenario Outline: A late copy of an earlier <kind> that names no attempt is not taken for the next answer
    Given a target that names no attempts, whose <kind> is followed by a late copy before the next answer
    When two requests are sent to it one after another
    Then the second one got its own answer

    Examples:
      | kind    |
      | answer  |
      | refusal |

  Scenario: A late copy of a refusal is not taken for the answer to the same request when it comes back
    Given a target whose refusal is followed by a late copy before the next answer
    When a request is sent to it twice
    Then the outcome of the second one is unknown

  Scenario: A copy that names no attempt proves nothing on a connection of a target that names them
    Given a target that names the attempt, and then sends a refusal that names none before the next answer
    When two requests are sent to it one after another
    Then the outcome of the second one is unknown

  Scenario: A late copy of a health answer is not taken for the answer to a request
    Given a target whose health answer is followed by a late copy before the next answer
    When its health is checked, and then a request is sent to it
    Then the request got its own answer

  Scenario: A target that names attempts gets all requests on one connection
    Given a target that names attempts
    When two requests are sent to it one after another
    Then both requests reached the target on one connection

  Scenario: A refusal without end is not read to its end
    Given a target that sends a refusal without end
    When a request is sent to it
    Then it was refused as not run
    And the target's connection is closed after at most 8000 kB

  Scenario: An answer without a length that ends with its connection is complete
    Given a target that sends an answer without a length and closes
    When a request is sent to it
    Then the answer was read to its end

  Scenario: An answer without a length that is reset at its end is not complete
    Given a target that sends half an answer without a length and resets
    When a request is sent to it
    Then reading the answer failed

  Scenario: A connection that times out after the request was written doesn't prove that it did not run
    Given a target of which nothing arrives
    When a request is sent to it, and its connection times out before the answer
    Then its outcome is unknown
