/** Tiering of KV-cache blocks between engines and store VMs. */
export * from './importingRunner.js';
export * from './tieringController.js';
