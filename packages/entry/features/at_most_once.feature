@system
Feature: At most once across entries
  Background:
    Given targets "a1-t1, a1-t2, b1-t1" that take 30 ms
    And entries "e1 in a1, e2 in a1, e3 in b1" with the fleet published

  Scenario Outline: A ticket sent again is answered once run
    Given a ticket of "e1"
    When a charge "x" is sent with it to "e1"
    And the same charge is sent again to "<second>"
    Then both answers are the same and "x" ran once

    Examples:
      | second |
      | e1     |
      | e2     |
      | e3     |

  Scenario: A resend while the first still runs waits for its answer
    Given a ticket of "e1"
    When a charge "x" is sent with it to "e1, e2, e3" at once
    Then all answers are the same and "x" ran once

  Scenario: A ticket's caller goes away and resends
    Given a ticket of "e1"
    When a charge "x" is sent with it to "e1" and its caller goes away
    And the same charge is sent again to "e2"
    Then it is answered and "x" ran once

  Scenario: The issuer dies with a ticket unsent
    Given a ticket of "e1"
    When "e1" is killed
    And a charge "x" is sent with it to "e2"
    Then it is refused as "ticket-holder-gone" with outcome "unknown"
    And "x" ran 0 times

  Scenario: The issuer ends gracefully with a ticket unsent
    Given a ticket of "e1"
    When "e1" is stopped gracefully
    And a charge "x" is sent with it to "e2"
    Then it is refused as "ticket-void" with outcome "not-run"

  Scenario: The outcome outlives the issuer
    Given a ticket of "e1"
    When a charge "x" is sent with it to "e1"
    And "e1" is stopped gracefully
    And the same charge is sent again to "e2"
    Then both answers are the same and "x" ran once

  Scenario: Tickets work while the store is away
    Given the store is away
    And a ticket of "e1"
    When a charge "x" is sent with it to "e1"
    Then it is answered and "x" ran once

  Scenario Outline: A caller's own key sent again is answered once run
    When a charge "x" is sent with key "k1" to "e1"
    And the same charge is sent again to "<second>"
    Then both answers are the same and "x" ran once

    Examples:
      | second |
      | e1     |
      | e2     |
      | e3     |

  Scenario: A caller's own key at three entries at once
    When a charge "x" is sent with key "k1" to "e1, e2, e3" at once
    Then all answers are the same and "x" ran once

  Scenario: A caller's own key whose claim's answer is lost
    Given the store loses the next answer
    When a charge "x" is sent with key "k1" to "e1"
    Then it is answered and "x" ran once

  Scenario: A caller's own key while the store is away
    Given the store is away
    When a charge "x" is sent for the first time with key "k1" to "e1"
    Then it is refused as "claim-store-away" with outcome "not-run"
    When the same charge is sent again to "e2"
    Then it is refused as "refused-key-unseen" with outcome "unknown"
    And "x" ran 0 times
    When the store is back
    And the same charge is sent again to "e1"
    Then it is answered and "x" ran once

  Scenario: The holder of a claim dies while it runs
    Given target "a1-t1" takes 3000 ms
    And target "a1-t2" takes 3000 ms
    When a charge "x" is sent with key "k1" to "e1" and its caller goes away
    And "e1" is killed
    And the same charge is sent again to "e3"
    Then it is refused as "claim-in-doubt" with outcome "unknown"

  Scenario: A key used for another request
    When a charge "x" is sent with key "k1" to "e1"
    And a charge "y" is sent with key "k1" to "e2"
    Then it is refused as "key-mismatch" with outcome "not-run"
    And "y" ran 0 times

  Scenario: A charge that all targets refuse may be sent again with its key
    Given all targets drain
    When a charge "x" is sent with key "k1" to "e1"
    Then it is refused with outcome "not-run"
    When all targets serve again
    And the same charge is sent again to "e3"
    Then it is answered and "x" ran once
