/** Command line of the entry daemon. */
import { loadSecret, runCli } from '@goldcrestscale/runtime';
import { entrySettingsSchema } from './config.js';
import { runEntry } from './entry.js';

await runCli({
  name: 'goldcrest-entry',
  version: '0.1.0',
  description: 'Entry daemon: accepts requests from callers and routes them to the upstreams.',
  schema: entrySettingsSchema,
  isDaemon: true,
  async run(signal, settings, logger) {
    const [operationsKey, meshSecret, fleetSecret] = await Promise.all([
      loadSecret(settings.operations.key),
      loadSecret(settings.mesh.secret),
      loadSecret(settings.fleetSecret),
    ]);
    const secrets = { operationsKey, meshSecret, fleetSecret };
    await runEntry({ settings, secrets, logger, signal });
  },
});
