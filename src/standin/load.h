/**
 * Subcommand "load": open-loop or closed-loop load with a check of every
 * answer.
 */
#ifndef STANDIN_LOAD_H
#define STANDIN_LOAD_H

/**
 * Runs a load and prints its results.
 *
 * @return 0 when every check holds, 1 when one does not, 2 for wrong usage
 */
int load_main(int argc, char **argv);

#endif
