/** Import directions between packages: plain data at the bottom, the daemon on top. */
const layers = [
  ["types"],
  ["errors"],
  ["logger", "metrics", "platform", "wire", "config"],
  ["route"],
  [
    "locate",
    "admit",
    "membership",
    "agree",
    "idempotency",
    "report",
    "steering",
  ],
  ["entry", "gateway"],
  ["cli"],
];
const above = (index) => layers.slice(index).flat().join("|");
module.exports = {
  forbidden: [
    {
      name: "no-circular",
      severity: "error",
      from: {},
      to: { circular: true },
    },
    ...layers.map((layer, index) => ({
      name: `${layer.join("-")}-imports-downwards`,
      severity: "error",
      from: { path: `^packages/(${layer.join("|")})/src` },
      to: {
        path: `^packages/(${above(index)})/`,
        pathNot: layer.map((name) => `^packages/${name}/`),
      },
    })),
    {
      name: "product-never-imports-standins",
      severity: "error",
      from: { path: "^packages/" },
      to: { path: "^(standins|tools)/" },
    },
    {
      name: "only-the-adapter-knows-the-platform",
      severity: "error",
      from: { path: "^(packages|standins|tools)/" },
      to: { path: "^platform/" },
    },
    {
      name: "same-layer-packages-stay-apart",
      severity: "error",
      from: {
        path:
          "^packages/(locate|admit|membership|agree|idempotency|report|steering)/src",
      },
      to: {
        path:
          "^packages/(locate|admit|membership|agree|idempotency|report|steering)/",
        pathNot: "^packages/$1/",
      },
    },
  ],
  options: {
    doNotFollow: { path: "node_modules" },
    exclude: { path: "(/features/|src/generated/)" },
    parser: "swc",
    tsPreCompilationDeps: true,
    enhancedResolveOptions: {
      exportsFields: ["exports"],
      conditionNames: ["types", "import", "default"],
    },
  },
};
