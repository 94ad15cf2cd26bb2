Feature: Agreement on the configuration
  Scenario: Concurrent changes under store faults
    Then random interleavings of publications with lost, late and failed calls keep one history
    And a change that was reported published is in the history once
    And a change that was reported refused is not in the history

  Scenario: Of two operators on one revision one wins and the other sees both changes
    Given a published revision
    When two operators publish on revision 1 at once
    Then one succeeds and the other gets a conflict that names both changes

  Scenario: The same change id takes effect once
    Given a published revision
    When a change is sent, its answer is lost, and it is sent again
    Then revision 2 holds it and there is no revision 3

  Scenario: An applied revision never goes back and freshness is never overstated
    Then random messages from stale, late and current sources keep revision and freshness true

  Scenario: Two instances never hold a duty at once, whatever pauses and store faults come
    Then random histories of tending and pausing never show two holders writing

  Scenario Outline: Edits that break a rule are refused
    Given a published revision
    When the edit "<edit>" is made
    Then it is refused as "<result>"

    Examples:
      | edit                        | result                |
      | exception without a reason  | invalid-configuration |
      | exception that exists       | invalid-configuration |
      | retire an unknown exception | not-found             |
      | move above its cap          | invalid-configuration |
      | advance an unknown move     | not-found             |
      | drain twice                 | invalid-configuration |
