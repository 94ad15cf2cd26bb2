Feature: Which targets an entry can reach, and who serves the rest
  Targets a1 to a3 are in data centre a and of service s, b1 to b3 in b and of s,
  c1 and c2 in a and of service r. The clock starts at 10 s.

  Background:
    Given the targets of that fleet, each heard at 10 s

  Scenario: Nothing is checked while targets answer
    When requests are sent to "a1" and "b1" and answered within 300 ms
    Then no check is planned at 10.3 s

  Scenario: A target that is silent beside others that answer is checked alone
    When a request is sent to "a1" at 10 s and not answered
    And "b1" and "c1" answer at 10.5 s
    Then no check is planned at 10.3 s
    And no check is planned at 10.5 s
    When nobody answers any more
    Then "a1" is checked at 11 s as silent, if the rate of such checks allows it

  Scenario: Once two targets of a data centre fail, the others there are checked
    When connections to "a1" and "a2" fail at 10.5 s
    Then "a3", "c1", "c2" and "b1", "b2", "b3" are checked at 10.6 s as suspected

  Scenario: A single target that fails leads to no other check
    When connections to "a1" fail at 10.5 s
    Then no check but of "a1" is planned at 11 s

  Scenario: An entry that hears nobody while targets of two data centres fail is cut off from all
    When connections to "a1", "a2" and "b1" fail at 10.5 s
    Then this entry is cut off from "a3", "b2", "b3", "c1" and "c2" at 10.5 s

  Scenario: An entry that hears one target, or fails in one data centre only, is not cut off
    When connections to "a1", "a2" and "a3" fail at 10.5 s
    Then this entry is not cut off at 10.5 s
    When connections to "b1" fail at 10.5 s
    And "c1" answers at 10.4 s
    Then this entry is not cut off at 10.5 s

  Scenario: A target that an entry was cut off from is used once it accepts a connection
    When connections to "a1", "a2" and "b1" fail at 10.5 s
    And this entry is cut off at 10.5 s
    Then "c1" is unreachable
    When "c1" accepts a connection at 11 s
    Then "c1" is reachable
    And "c1" is not cold at 11 s

  Scenario: Targets that were heard since the failures are not checked
    When connections to "a1" and "a2" fail at 10.5 s
    And "b1", "b2" and "b3" answer at 10.4 s
    Then "a3", "c1" and "c2" are checked at 10.6 s as suspected

  Scenario: One target that is back makes the others of its data centre or service be tried at once
    When connections to "a1", "a2", "a3", "b1", "b2" and "b3" fail at 10.5 s
    And all of them were checked at 10.9 s
    And "a1" accepts a connection at 11 s
    Then "a2", "a3", "b1", "b2" and "b3" are checked at 11.1 s as again

  Scenario: Unreachable targets are tried again one at a time, less and less often
    When connections to "a1", "a2", "a3", "b1", "b2" and "b3" fail at 10.5 s
    Then at most 1 check of unreachable targets is planned at 11.5 s

  Scenario: An open connection that answers doesn't make a target reachable
    When connections to "a1" fail at 10.5 s
    And "a1" answers at 10.6 s
    Then "a1" is unreachable
    When "a1" accepts a connection at 11 s
    Then "a1" is reachable

  Scenario Outline: Requests are forwarded to the nearest entry, until it has more than its part
    Given entries in data centres "a", "a2" of the same region, and "x" of another one
    When this entry has <forwarded> requests under way at those entries
    Then the next request for "s" goes to the entry in "<chosen>"

    Examples:
      | forwarded | chosen |
      | 0, 0, 0   | a      |
      | 2, 0, 0   | a2     |
      | 7, 6, 0   | x      |

  Scenario: An entry that doesn't reach the service, or was tried, or is in a region that may not run the request, gets nothing
    Given entries in data centres "a", "a2" of the same region, and "x" of another one
    When the entry in "a" reaches no target of "s"
    Then the next request for "s" goes to the entry in "a2"
    And after that one refused it, to the entry in "x"
    And if only the own region may run it, to none
