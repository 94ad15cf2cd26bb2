@system
Feature: At-most-once execution across entries
  A charge is a request that is not idempotent. It carries a key: either a
  ticket, which an entry issues and tracks in memory, or a key that the caller
  chooses, which an entry claims in the store. The body of a charge is the mark
  ("x") by which its runs are counted.

  Background:
    Given targets "a1-t1, a1-t2, b1-t1" that take 30 ms per request
    And entries "e1 in a1, e2 in a1, e3 in b1" with the fleet published

  Scenario Outline: A resend of a ticket to any entry gets the first answer without a second run
    Given a ticket issued by "e1"
    When a charge "x" is sent with the ticket to "e1"
    And the same charge is resent to "<second>"
    Then both answers are the same and "x" ran once

    Examples:
      | second |
      | e1     |
      | e2     |
      | e3     |

  Scenario: Concurrent sends of one ticket all get the answer of a single run
    Given a ticket issued by "e1"
    When a charge "x" is sent with the ticket to "e1, e2, e3" at once
    Then all answers are the same and "x" ran once

  Scenario: A resend of a ticket whose caller disconnected while the request ran gets the answer without a second run
    Given a ticket issued by "e1"
    When a charge "x" is sent with the ticket to "e1" and its caller disconnects
    And the same charge is resent to "e2"
    Then it is answered and "x" ran once

  Scenario: A ticket whose issuer crashed is refused with an unknown outcome, and the charge does not run
    Given a ticket issued by "e1"
    When "e1" is killed
    And a charge "x" is sent with the ticket to "e2"
    Then it is refused as "ticket-holder-gone" with outcome "unknown"
    And "x" ran 0 times

  Scenario: A ticket that was not used before its issuer stopped gracefully is refused as not run
    Given a ticket issued by "e1"
    When "e1" is stopped gracefully
    And a charge "x" is sent with the ticket to "e2"
    Then it is refused as "ticket-void" with outcome "not-run"

  Scenario: A ticket's answer is available after its issuer stopped gracefully
    Given a ticket issued by "e1"
    When a charge "x" is sent with the ticket to "e1"
    And "e1" is stopped gracefully
    And the same charge is resent to "e2"
    Then both answers are the same and "x" ran once

  Scenario: A charge with a ticket is answered and runs once during a store outage
    Given the store is unavailable
    And a ticket issued by "e1"
    When a charge "x" is sent with the ticket to "e1"
    Then it is answered and "x" ran once

  Scenario Outline: A resend of a caller-chosen key to any entry gets the first answer without a second run
    When a charge "x" is sent with key "k1" to "e1"
    And the same charge is resent to "<second>"
    Then both answers are the same and "x" ran once

    Examples:
      | second |
      | e1     |
      | e2     |
      | e3     |

  Scenario: Concurrent sends of a caller-chosen key to three entries run once
    When a charge "x" is sent with key "k1" to "e1, e2, e3" at once
    Then all answers are the same and "x" ran once

  Scenario: A charge is answered and runs once if the store commits the claim of its key but the store's answer is lost
    Given the answer to the next store transaction is lost
    When a charge "x" is sent with key "k1" to "e1"
    Then it is answered and "x" ran once

  Scenario: A caller-chosen key is refused during a store outage and runs once after it
    Given the store is unavailable
    When a charge "x" is sent for the first time with key "k1" to "e1"
    Then it is refused as "claim-store-away" with outcome "not-run"
    When the same charge is resent to "e2"
    Then it is refused as "refused-key-unseen" with outcome "unknown"
    And "x" ran 0 times
    When the store is available again
    And the same charge is resent to "e1"
    Then it is answered and "x" ran once

  Scenario: A resend is refused as in doubt after the holder of the claim crashed while the request ran
    Given target "a1-t1" takes 3000 ms per request
    And target "a1-t2" takes 3000 ms per request
    When a charge "x" is sent with key "k1" to "e1" and its caller disconnects
    And "e1" is killed
    And the same charge is resent to "e3"
    Then it is refused as "claim-in-doubt" with outcome "unknown"

  Scenario: A key reused for a different request is refused
    When a charge "x" is sent with key "k1" to "e1"
    And a charge "y" is sent with key "k1" to "e2"
    Then it is refused as "key-mismatch" with outcome "not-run"
    And "y" ran 0 times

  Scenario: A charge that all targets refused can be resent with its key
    Given all targets drain
    When a charge "x" is sent with key "k1" to "e1"
    Then it is refused with outcome "not-run"
    When all targets serve again
    And the same charge is resent to "e3"
    Then it is answered and "x" ran once
