/**
 * Steps for the text of explanations.
 */
import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { formatExplanation } from "@bamboolane/cli/format_explanation";

let text = "";

When(
  "a decision with attempts 0, forwarded false, no move and no candidates is formatted",
  () => {
    text = formatExplanation({
      attempts: 0,
      forwarded: false,
      move: "",
      over: [],
    });
  },
);

Then("its text is {string}", (expected: string) => {
  assert.equal(text, expected);
});
