/** The goldcrestpierctl program: the operators' command line. */
export {};
