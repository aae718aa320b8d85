import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

/** Bundles the gateway and its platform adapter into `target/`; loading fewer files speeds up the start. */

const resolvePath = (path) => fileURLToPath(new URL(`../${path}`, import.meta.url));

const packages = ['core', 'runtime', 'gateway'];

await build({
  entryPoints: [resolvePath('platform/src/cli.ts')],
  outdir: resolvePath('target'),
  bundle: true,
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  minify: true,
  keepNames: true,
  alias: Object.fromEntries(
    packages.map((name) => [
      `@goldcrestscale/${name}`,
      resolvePath(`packages/${name}/src/index.ts`),
    ]),
  ),
  // Bundled CommonJS libraries call require, which ES modules do not define.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
