/** The platform's key-value service and instance list, spoken to over HTTP. */
export {};
