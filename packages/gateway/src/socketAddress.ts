/** Splits a validated HOST:PORT. */
export const splitAddress = (address: string): { readonly host: string; readonly port: number } => {
  const separatorIndex = address.lastIndexOf(':');
  return {
    host: address.slice(0, separatorIndex),
    port: Number(address.slice(separatorIndex + 1)),
  };
};
