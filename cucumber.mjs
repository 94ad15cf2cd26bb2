import process from "node:process";

const paths = process.env.FEATURES?.split(",") ??
  ["packages/*/features/*.feature", "platform/features/*.feature"];

export default {
  paths,
  import: ["packages/*/features/*_steps.ts", "platform/features/*_steps.ts"],
  format: ["progress", "json:.run/cucumber.json"],
  strict: true,
  forceExit: true,
};
