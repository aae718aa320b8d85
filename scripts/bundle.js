import { execFileSync } from 'node:child_process';
import { copyFileSync, mkdirSync, rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

/**
 * Bundles the gateway and its platform adapter into `target/`, and writes its code cache; both speed
 * up the start. With `--readable`, it keeps names and writes no cache, for profiles; `--folder` names
 * another folder to write to.
 */

const resolvePath = (path) => fileURLToPath(new URL(`../${path}`, import.meta.url));

const isReadable = process.argv.includes('--readable');

const folderIndex = process.argv.indexOf('--folder');

const target =
  folderIndex >= 0
    ? process.argv[folderIndex + 1]
    : resolvePath(isReadable ? 'target/readable' : 'target');

const packages = ['core', 'runtime', 'gateway'];

const commonOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  alias: Object.fromEntries(
    packages.map((name) => [
      `@goldcrestscale/${name}`,
      resolvePath(`packages/${name}/src/index.ts`),
    ]),
  ),
  logLevel: 'error',
};

mkdirSync(target, { recursive: true });
await build({
  ...commonOptions,
  entryPoints: [resolvePath('platform/src/cli.ts')],
  outfile: `${target}/gateway.cjs`,
  format: 'cjs',
  minify: !isReadable,
});
copyFileSync(resolvePath('platform/bundle/cli.cjs'), `${target}/cli.cjs`);

if (!isReadable) {
  await build({
    ...commonOptions,
    entryPoints: [resolvePath('platform/bundle/warmUp.ts')],
    outfile: `${target}/warmUp.mjs`,
    format: 'esm',
  });
  rmSync(`${target}/gateway.cache`, { force: true });
  try {
    execFileSync(
      process.execPath,
      [`${target}/warmUp.mjs`, target, resolvePath('deploy/system.toml')],
      { stdio: 'inherit' },
    );
  } catch (cause) {
    // The bundle also runs without a code cache; it only starts more slowly.
    console.warn(`could not write the code cache: ${String(cause)}`);
  }
}
