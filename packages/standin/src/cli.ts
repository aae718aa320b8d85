/** Entry point of the goldcrest-standin binary: runs one role per process. */
import { readFileSync } from 'node:fs';
import meow from 'meow';
import { startStandInServer } from './http/index.js';
import { createRole, roleNames } from './roles.js';

const USAGE_EXIT_CODE = 2;

const cli = meow(
  `
  Usage
    $ goldcrest-standin <${roleNames.join('|')}>

  Options
    --settings   JSON file with the settings of the role
    --config     settings of the role as JSON; override those of the file
    --host       address to listen on (default 127.0.0.1)
    --port       port to listen on (default: any free port)
    --vm-id      id of this VM
    --zone       availability zone of this VM
`,
  {
    importMeta: import.meta,
    flags: {
      settings: { type: 'string' },
      config: { type: 'string', default: '{}' },
      host: { type: 'string', default: '127.0.0.1' },
      port: { type: 'number', default: 0 },
      vmId: { type: 'string' },
      zone: { type: 'string' },
    },
  },
);

const readSettings = (): Record<string, unknown> => {
  const { settings, config, vmId, zone } = cli.flags;
  return {
    ...(settings && (JSON.parse(readFileSync(settings, 'utf8')) as object)),
    ...(JSON.parse(config) as object),
    ...(vmId && { vmId }),
    ...(zone && { availabilityZone: zone }),
  };
};

const main = async (): Promise<void> => {
  const role = createRole(cli.input[0] ?? '', readSettings());
  if (!role) cli.showHelp(USAGE_EXIT_CODE);
  else {
    const server = await startStandInServer(role, cli.flags);
    process.once('SIGTERM', () => process.exit(0));
    process.once('SIGINT', () => process.exit(0));
    console.log(JSON.stringify({ listening: server.port }));
  }
};

await main();
