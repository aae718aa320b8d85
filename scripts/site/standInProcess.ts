import { fileURLToPath } from 'node:url';
import { SiteProcess } from './siteProcess.js';

const standInScript = fileURLToPath(
  new URL('../../packages/standin/bin/goldcrest-standin.js', import.meta.url),
);

/** Creates the process of one stand-in (a simulated engine, store VM, service or platform service). */
export const createStandInProcess = (
  id: string,
  role: string,
  port: number,
  settings: Readonly<Record<string, unknown>> = {},
): SiteProcess => {
  const url = `http://127.0.0.1:${port}`;
  const args = [role, '--port', String(port), '--config', JSON.stringify(settings)];
  return new SiteProcess(id, url, { script: standInScript, args }, `${url}/healthz`);
};
