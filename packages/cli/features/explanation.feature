Feature: Text of explanations

  Scenario: Zero and false are shown as they are, and only empty fields as none
    When a decision with attempts 0, forwarded false, no move and no candidates is formatted
    Then its text is "attempts=0 forwarded=false move=none over=none"
