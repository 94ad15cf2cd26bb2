Feature: Faulty answers of targets
  Targets send answers late, twice, without end, or break them off. None of these
  may reach a caller as its own complete answer, and none may prove that a request
  did not run, unless it names that request.

  Background:
    Given a store with a route of each kind

  Scenario Outline: A late copy of another request's answer is not taken for the answer to this one
    Given a target "t1" that sends a late copy of each <kind> before the next answer
    And an entry "e1"
    When a caller of "e1" posts "/write/x" 2 times with a pause of 150 ms
    Then the answer is 502
    And the targets received at most 2 requests

    Examples:
      | kind    |
      | answer  |
      | refusal |
